package platform

import (
	"maps"
	"slices"
)

// maxVersions bounds the versions kept of each entry, for stale answers.
const maxVersions = 256

// change is one version of one entry.
type change[T any] struct {
	revision uint64
	value    T
	deleted  bool
}

// history keeps the newest versions of named entries under one revision
// counter.
type history[T any] struct {
	revision uint64
	entries  map[string][]change[T]
}

func newHistory[T any]() history[T] {
	return history[T]{entries: make(map[string][]change[T])}
}

// put adds a version and returns its revision.
func (h *history[T]) put(name string, value T, deleted bool) uint64 {
	h.revision++
	versions := append(h.entries[name], change[T]{h.revision, value, deleted})
	if len(versions) > maxVersions {
		versions = slices.Clone(versions[1:])
	}
	h.entries[name] = versions
	return h.revision
}

// at returns the version of an entry that was current at a revision.
func (h *history[T]) at(name string, revision uint64) (change[T], bool) {
	versions := h.entries[name]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].revision <= revision {
			return versions[i], true
		}
	}
	return change[T]{}, false
}

// namedChange is a change with the name of its entry.
type namedChange[T any] struct {
	name string
	change[T]
}

// since returns what changed after a revision as seen at a later one, sorted by
// name. From revision 0 it leaves out what is deleted.
func (h *history[T]) since(after, at uint64) []namedChange[T] {
	var changes []namedChange[T]
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		c, ok := h.at(name, at)
		if !ok || c.revision <= after || (after == 0 && c.deleted) {
			continue
		}
		changes = append(changes, namedChange[T]{name, c})
	}
	return changes
}
