package platform

import (
	"maps"
	"slices"
)

// maxVersions bounds the versions kept of each entry. Stale responses need old ones.
const maxVersions = 256

// version is the value of an entry as of one revision, or its deletion.
type version[T any] struct {
	revision uint64
	value    T
	deleted  bool
}

// history keeps the newest versions of named entries. All entries share one
// revision counter.
type history[T any] struct {
	revision uint64
	entries  map[string][]version[T]
}

func newHistory[T any]() history[T] {
	return history[T]{entries: make(map[string][]version[T])}
}

// put adds a version and returns its revision.
func (h *history[T]) put(name string, value T, deleted bool) uint64 {
	h.revision++
	versions := append(h.entries[name], version[T]{h.revision, value, deleted})
	if len(versions) > maxVersions {
		versions = slices.Clone(versions[1:])
	}
	h.entries[name] = versions
	return h.revision
}

// at returns the version of an entry that was current at a revision, and false if
// there was none.
func (h *history[T]) at(name string, revision uint64) (version[T], bool) {
	versions := h.entries[name]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].revision <= revision {
			return versions[i], true
		}
	}
	return version[T]{}, false
}

// namedVersion is a version with the name of its entry.
type namedVersion[T any] struct {
	name string
	version[T]
}

// since returns the versions that were current at the revision at and are newer than
// the revision after, sorted by name. If after is 0, it leaves out deleted entries,
// since the reader does not know them.
func (h *history[T]) since(after, at uint64) []namedVersion[T] {
	var versions []namedVersion[T]
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		v, ok := h.at(name, at)
		if !ok || v.revision <= after || (after == 0 && v.deleted) {
			continue
		}
		versions = append(versions, namedVersion[T]{name, v})
	}
	return versions
}
