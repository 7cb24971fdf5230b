// Package members holds the immutable view of the instances of the mesh, the rules
// that merge records from different writers, and the log positions and digests from
// which a node derives the records that another one lacks. The package does no I/O and
// reads no clock.
package members

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalever/galenalever/internal/model"
)

// Hash returns the hash that orders instances in a view and in their failure domain,
// and whose upper bits select the bucket.
func Hash(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// View is an immutable set of member records. A change copies only the parts that
// it affects.
type View struct {
	epoch    uint64
	position uint64
	count    int
	buckets  [Buckets]*bucket
	services [serviceShards]serviceShard
	domains  []domainIndex
}

// entry is one record with its hash and the log position of its last change.
type entry struct {
	hash     uint64
	position uint64
	member   model.Member
}

// bucket holds the entries whose hash starts with the bucket's number, in
// order of hash and ID.
type bucket struct {
	entries []*entry
	digest  uint64
	// position is the greatest log position of the entries.
	position uint64
}

var emptyBucket = &bucket{}

// New returns an empty view. The epoch identifies this process's member log; it must
// differ from those of all other processes, earlier ones included.
func New(epoch uint64) *View {
	v := &View{epoch: epoch}
	for i := range v.buckets {
		v.buckets[i] = emptyBucket
	}
	return v
}

// Len returns the number of records, departed instances included.
func (v *View) Len() int { return v.count }

// Get returns the record of one instance.
func (v *View) Get(id model.InstanceID) (model.Member, bool) {
	hash := Hash(id)
	b := v.buckets[bucketOf(hash)]
	i, ok := find(b.entries, hash, id)
	if !ok {
		return model.Member{}, false
	}
	return b.entries[i].member, true
}

// Newer reports whether the record would change the view.
func (v *View) Newer(m model.Member) bool {
	known, ok := v.Get(m.ID)
	if !ok {
		return true
	}
	_, changed := Merge(known, m)
	return changed
}

// All returns the records of all instances in order of their hash.
func (v *View) All() []model.Member {
	out := make([]model.Member, 0, v.count)
	for _, b := range v.buckets {
		out = appendMembers(out, b.entries)
	}
	return out
}

// Service returns the records of a service's instances in order of their hash; it is
// empty if there are none.
func (v *View) Service(name model.ServiceName) []model.Member {
	return toMembers(v.services[shardOf(name)].find(name))
}

// Domain returns the records of a failure domain's instances in order of their
// hash.
func (v *View) Domain(name model.FailureDomain) []model.Member {
	for _, d := range v.domains {
		if d.name == name {
			return toMembers(d.entries)
		}
	}
	return nil
}

// EachInDomain iterates over a failure domain's instances in order of their
// hash without copying the records, which must not be modified.
func (v *View) EachInDomain(name model.FailureDomain) iter.Seq[*model.Member] {
	return func(yield func(*model.Member) bool) {
		for _, d := range v.domains {
			if d.name == name {
				eachMember(d.entries, yield)
				return
			}
		}
	}
}

func eachMember(entries []*entry, yield func(*model.Member) bool) {
	for _, e := range entries {
		if !yield(&e.member) {
			return
		}
	}
}

// Domains returns the names of the failure domains in alphabetical order.
func (v *View) Domains() []model.FailureDomain {
	out := make([]model.FailureDomain, len(v.domains))
	for i, d := range v.domains {
		out[i] = d.name
	}
	return out
}

func toMembers(entries []*entry) []model.Member {
	return appendMembers(make([]model.Member, 0, len(entries)), entries)
}

func appendMembers(out []model.Member, entries []*entry) []model.Member {
	for _, e := range entries {
		out = append(out, e.member)
	}
	return out
}

func find(entries []*entry, hash uint64, id model.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(entries, hash, func(e *entry, hash uint64) int {
		return cmp.Or(cmp.Compare(e.hash, hash), cmp.Compare(e.member.ID, id))
	})
}
