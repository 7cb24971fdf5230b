package members

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalever/galenalever/internal/model"
)

// serviceShards is the number of shards of the index by service.
const serviceShards = 256

func shardOf(name model.ServiceName) int {
	return int(xxhash.Sum64String(string(name)) % serviceShards)
}

// serviceShard holds the services of one shard in alphabetical order.
type serviceShard []serviceIndex

// serviceIndex holds the entries of one service in order of hash and ID.
type serviceIndex struct {
	name    model.ServiceName
	entries []*entry
}

func (s serviceShard) search(name model.ServiceName) (int, bool) {
	return slices.BinarySearchFunc(s, name, func(i serviceIndex, name model.ServiceName) int {
		return cmp.Compare(i.name, name)
	})
}

func (s serviceShard) find(name model.ServiceName) []*entry {
	i, ok := s.search(name)
	if !ok {
		return nil
	}
	return s[i].entries
}

// domainIndex holds the entries of one failure domain in order of hash and ID.
type domainIndex struct {
	name    model.FailureDomain
	entries []*entry
}

// put inserts an entry or replaces the entry of the same instance, in place.
func put(entries []*entry, e *entry) []*entry {
	i, ok := find(entries, e.hash, e.member.ID)
	if ok {
		entries[i] = e
		return entries
	}
	return slices.Insert(entries, i, e)
}

// remove deletes an entry in place.
func remove(entries []*entry, e *entry) []*entry {
	i, ok := find(entries, e.hash, e.member.ID)
	if !ok {
		return entries
	}
	return slices.Delete(entries, i, i+1)
}
