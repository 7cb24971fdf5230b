package replicate

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// Limits of the removals that a cut records. A peer whose base is older than the
// recorded removals of leaves gets the whole subtree; a peer that misses a
// tombstone finds that the digest does not match and asks for the complete cut.
// Dropping the oldest removals thus costs bytes, but never restores a removed
// subtree or leaf.
const (
	maxDroppedLeaves = 256 // per subtree
	maxTombstones    = 256 // per cut
)

// ErrRegressed marks a cut whose keys contradict its revision or an earlier cut: a
// key is newer than the cut, or older than in the known cut.
var ErrRegressed = eris.New("cut is inconsistent")

// Advance moves from a known cut to one read from the platform. Unchanged leaves
// keep their stamps and unchanged subtrees their pointers; keys that are missing
// in next become tombstones. A cut that is not newer is ignored. A newer cut with
// an inconsistent key is rejected as a whole with [ErrRegressed]. A version that a
// platform brought back from an older copy does not replace the known one.
func Advance(known, next model.Cut) (model.Cut, error) {
	if next.Revision <= known.Revision {
		return known, nil
	}
	merged := model.Cut{Revision: next.Revision, Subtrees: make(map[model.Key]*model.Subtree, len(next.Subtrees))}
	for key, subtree := range next.Subtrees {
		previous := known.Subtrees[key]
		if fromOlderCopy(subtree, previous) {
			merged.Subtrees[key] = previous
			continue
		}
		if err := checkProgress(previous, subtree, next.Revision); err != nil {
			return known, err
		}
		merged.Subtrees[key] = advanceSubtree(previous, subtree)
	}
	for key, previous := range known.Subtrees {
		if _, ok := merged.Subtrees[key]; ok {
			continue
		}
		if !previous.Removed {
			previous = tombstone(key, next.Revision)
		}
		merged.Subtrees[key] = previous
	}
	return dropOldTombstones(merged), nil
}

// fromOlderCopy reports whether next is an older version of the document than known,
// although its revision is greater.
func fromOlderCopy(next, known *model.Subtree) bool {
	return known != nil && next.Revision > known.Revision && !next.NewerThan(known)
}

func checkProgress(previous, next *model.Subtree, cut model.Revision) error {
	if next.Revision > cut {
		return eris.Wrapf(ErrRegressed, "key %s has revision %s after the cut's %s", next.Key, next.Revision, cut)
	}
	if !next.NewerThan(previous) && next.Revision != previous.Revision && !bothRemoved(previous, next) {
		return eris.Wrapf(ErrRegressed, "key %s has revision %s, known is %s", next.Key, next.Revision, previous.Revision)
	}
	return nil
}

// bothRemoved reports whether both versions record the same removal. Nodes that miss a
// key in a complete listing record its removal at the revision of the listing, which is
// later than the one that others saw.
func bothRemoved(previous, next *model.Subtree) bool {
	return previous != nil && previous.Removed && next.Removed
}

// advanceSubtree returns next with the stamps of the leaves that are unchanged
// since the previous version, and with the leaves that were dropped since.
func advanceSubtree(previous, next *model.Subtree) *model.Subtree {
	if previous != nil && previous.Revision == next.Revision || bothRemoved(previous, next) && next.Revision < previous.Revision {
		return previous
	}
	if !hasLeaves(previous) || !hasLeaves(next) {
		return next
	}
	stamped := *next
	old := make(map[string]model.Leaf, len(previous.Leaves))
	for _, leaf := range previous.Leaves {
		old[leaf.Path] = leaf
	}
	dropped := make(map[string]model.Revision)
	for _, d := range previous.Dropped {
		dropped[d.Path] = d.Changed
	}
	stamped.Leaves = slices.Clone(next.Leaves)
	for i := range stamped.Leaves {
		leaf := &stamped.Leaves[i]
		if previousLeaf, ok := old[leaf.Path]; ok && bytes.Equal(previousLeaf.Value, leaf.Value) {
			*leaf = previousLeaf
		} else {
			leaf.Changed = next.Revision
		}
		delete(old, leaf.Path)
		delete(dropped, leaf.Path)
	}
	for path := range old {
		dropped[path] = next.Revision
	}
	stamped.Dropped, stamped.Horizon = boundDropped(dropped, previous.Horizon)
	return &stamped
}

// boundDropped returns the dropped leaves sorted by path. It discards the oldest
// beyond the limit and then advances the horizon.
func boundDropped(dropped map[string]model.Revision, horizon model.Revision) ([]model.DroppedLeaf, model.Revision) {
	if len(dropped) == 0 {
		return nil, horizon
	}
	list := make([]model.DroppedLeaf, 0, len(dropped))
	for path, changed := range dropped {
		list = append(list, model.DroppedLeaf{Path: path, Changed: changed})
	}
	slices.SortFunc(list, func(a, b model.DroppedLeaf) int {
		return cmp.Or(cmp.Compare(b.Changed, a.Changed), cmp.Compare(a.Path, b.Path))
	})
	if len(list) > maxDroppedLeaves {
		horizon = max(horizon, list[maxDroppedLeaves].Changed)
		list = list[:maxDroppedLeaves]
	}
	slices.SortFunc(list, func(a, b model.DroppedLeaf) int { return cmp.Compare(a.Path, b.Path) })
	return list, horizon
}

func tombstone(key model.Key, revision model.Revision) *model.Subtree {
	return &model.Subtree{Key: key, Revision: revision, Removed: true, Horizon: revision}
}

// dropOldTombstones returns the cut without the oldest tombstones beyond the limit.
func dropOldTombstones(cut model.Cut) model.Cut {
	var removed []*model.Subtree
	for _, subtree := range cut.Subtrees {
		if subtree.Removed {
			removed = append(removed, subtree)
		}
	}
	if len(removed) <= maxTombstones {
		return cut
	}
	slices.SortFunc(removed, func(a, b *model.Subtree) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Key, b.Key))
	})
	bounded := model.Cut{Revision: cut.Revision, Subtrees: maps.Clone(cut.Subtrees)}
	for _, subtree := range removed[maxTombstones:] {
		delete(bounded.Subtrees, subtree.Key)
	}
	return bounded
}
