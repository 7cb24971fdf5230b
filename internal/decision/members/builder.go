package members

import (
	"cmp"
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// With returns a view with the received records merged in, and those merged records
// that differ from the ones in v. It returns v itself when nothing changed.
func (v *View) With(received ...model.Member) (*View, []model.Member) {
	b := builder{old: v}
	var changed []model.Member
	for _, m := range received {
		if merged, ok := b.merge(m); ok {
			changed = append(changed, merged)
		}
	}
	if b.next == nil {
		return v, nil
	}
	return b.next, changed
}

// Without returns a view without those of the given instances that have departed.
// It returns v itself when there are none.
func (v *View) Without(ids ...model.InstanceID) *View {
	b := builder{old: v}
	for _, id := range ids {
		if m, ok := v.Get(id); ok && Departed(m) {
			b.forget(id)
		}
	}
	if b.next == nil {
		return v
	}
	return b.next
}

// builder makes the next view. It copies each part of the old view at most once,
// however many records change.
type builder struct {
	old  *View
	next *View
	// The owned fields mark the buckets, services, shards of the service index and
	// failure domains that are already copies and may be modified.
	ownedBuckets  [Buckets]bool
	ownedServices map[model.ServiceName]bool
	ownedShards   [serviceShards]bool
	ownedDomains  map[model.FailureDomain]bool
}

// view returns the view with the changes made so far.
func (b *builder) view() *View {
	if b.next == nil {
		return b.old
	}
	return b.next
}

// ensureNext copies the old view unless that has already been done.
func (b *builder) ensureNext() {
	if b.next != nil {
		return
	}
	next := *b.old
	next.domains = slices.Clone(b.old.domains)
	b.next = &next
	b.ownedServices = make(map[model.ServiceName]bool)
	b.ownedDomains = make(map[model.FailureDomain]bool)
}

// merge merges a received record into the next view. It returns the merged record and
// whether it differs from the known one.
func (b *builder) merge(received model.Member) (model.Member, bool) {
	hash := Hash(received.ID)
	known := b.lookup(hash, received.ID)
	merged := received
	if known != nil {
		var changed bool
		if merged, changed = Merge(known.member, received); !changed {
			return model.Member{}, false
		}
	}
	b.ensureNext()
	b.next.position++
	e := &entry{hash: hash, position: b.next.position, member: merged}
	if known != nil {
		b.unlink(known)
	}
	b.link(e)
	return merged, true
}

func (b *builder) lookup(hash uint64, id model.InstanceID) *entry {
	entries := b.view().buckets[bucketOf(hash)].entries
	i, ok := find(entries, hash, id)
	if !ok {
		return nil
	}
	return entries[i]
}

// forget removes the record of an instance that the view contains.
func (b *builder) forget(id model.InstanceID) {
	known := b.lookup(Hash(id), id)
	b.ensureNext()
	b.unlink(known)
}

// link adds an entry to its bucket and to all indexes.
func (b *builder) link(e *entry) {
	bucket := b.bucket(bucketOf(e.hash))
	bucket.entries = put(bucket.entries, e)
	bucket.digest ^= entryDigest(e)
	bucket.position = max(bucket.position, e.position)
	service := b.service(e.member.Service)
	service.entries = put(service.entries, e)
	domain := b.domain(e.member.Domain)
	domain.entries = put(domain.entries, e)
	b.next.count++
}

// unlink removes an entry from its bucket and from all indexes.
func (b *builder) unlink(e *entry) {
	bucket := b.bucket(bucketOf(e.hash))
	bucket.entries = remove(bucket.entries, e)
	bucket.digest ^= entryDigest(e)
	service := b.service(e.member.Service)
	service.entries = remove(service.entries, e)
	domain := b.domain(e.member.Domain)
	domain.entries = remove(domain.entries, e)
	b.next.count--
}

// bucket returns a bucket that may be modified.
func (b *builder) bucket(i int) *bucket {
	if !b.ownedBuckets[i] {
		copied := *b.next.buckets[i]
		copied.entries = slices.Clone(copied.entries)
		b.next.buckets[i] = &copied
		b.ownedBuckets[i] = true
	}
	return b.next.buckets[i]
}

// service returns a service's index that may be modified. It adds a missing one.
func (b *builder) service(name model.ServiceName) *serviceIndex {
	shard := shardOf(name)
	if !b.ownedShards[shard] {
		b.next.services[shard] = slices.Clone(b.next.services[shard])
		b.ownedShards[shard] = true
	}
	i, ok := b.next.services[shard].search(name)
	if !ok {
		b.next.services[shard] = slices.Insert(b.next.services[shard], i, serviceIndex{name: name})
	}
	index := &b.next.services[shard][i]
	if !b.ownedServices[name] {
		index.entries = slices.Clone(index.entries)
		b.ownedServices[name] = true
	}
	return index
}

// domain returns a failure domain's index that may be modified. It adds a missing
// one.
func (b *builder) domain(name model.FailureDomain) *domainIndex {
	i, ok := slices.BinarySearchFunc(b.next.domains, name, func(d domainIndex, name model.FailureDomain) int {
		return cmp.Compare(d.name, name)
	})
	if !ok {
		b.next.domains = slices.Insert(b.next.domains, i, domainIndex{name: name})
	}
	index := &b.next.domains[i]
	if !b.ownedDomains[name] {
		index.entries = slices.Clone(index.entries)
		b.ownedDomains[name] = true
	}
	return index
}
