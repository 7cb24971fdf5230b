package replicate

import (
	"maps"
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// Result is the outcome of a received delta. Unless the whole delta was applied
// and its digest matches, Cut is the previous cut.
type Result struct {
	Cut model.Cut
	// Mismatched lists the keys whose subtrees must be requested whole, sorted.
	Mismatched []model.Key
	// Resync means that the complete cut is needed: the digest does not match
	// although every received subtree is intact.
	Resync bool
}

// Apply moves cut forward by a delta. A delta that is not newer is ignored. A
// delta whose base differs from cut is detected by the hash of a subtree or the
// digest of the cut. A version that a platform brought back from an older copy is
// verified, but does not replace the known one.
func Apply(cut model.Cut, delta Delta) Result {
	if delta.Revision <= cut.Revision {
		return Result{Cut: cut}
	}
	received := make(map[model.Key]*model.Subtree, len(delta.Subtrees))
	var mismatched []model.Key
	for _, change := range delta.Subtrees {
		key := change.Subtree.Key
		subtree, ok := applySubtree(cut, change, delta.Revision)
		if !ok {
			mismatched = append(mismatched, key)
			continue
		}
		received[key] = subtree
	}
	if len(mismatched) > 0 {
		slices.Sort(mismatched)
		return Result{Cut: cut, Mismatched: slices.Compact(mismatched)}
	}
	if next, ok := verified(overlay(cut, received, delta.Revision), delta); ok {
		return Result{Cut: keepNewer(next, cut)}
	}
	// A delta of whole subtrees may be the complete cut, without the removed keys.
	if next, ok := verified(replacement(cut, received, delta.Revision), delta); ok && isComplete(delta) {
		return Result{Cut: keepNewer(next, cut)}
	}
	return Result{Cut: cut, Resync: true}
}

// keepNewer returns next with the subtrees of known that are newer.
func keepNewer(next, known model.Cut) model.Cut {
	for key, previous := range known.Subtrees {
		if subtree, ok := next.Subtrees[key]; ok && fromOlderCopy(subtree, previous) {
			next.Subtrees[key] = previous // overlay and replacement return a map of their own
		}
	}
	return next
}

// verified returns the cut without old tombstones, and whether its digest is that of
// the delta.
func verified(cut model.Cut, delta Delta) (model.Cut, bool) {
	return dropOldTombstones(cut), Digest(cut) == delta.Digest
}

// overlay returns cut with the received subtrees; all other keys stay as they are.
func overlay(cut model.Cut, received map[model.Key]*model.Subtree, revision model.Revision) model.Cut {
	next := model.Cut{Revision: revision, Subtrees: maps.Clone(cut.Subtrees)}
	if next.Subtrees == nil {
		next.Subtrees = make(map[model.Key]*model.Subtree, len(received))
	}
	maps.Copy(next.Subtrees, received)
	return next
}

// replacement treats the received subtrees as the complete cut: all other keys
// become tombstones.
func replacement(cut model.Cut, received map[model.Key]*model.Subtree, revision model.Revision) model.Cut {
	next := overlay(cut, received, revision)
	for key, subtree := range next.Subtrees {
		if _, ok := received[key]; !ok && !subtree.Removed {
			next.Subtrees[key] = tombstone(key, revision)
		}
	}
	return next
}

// isComplete reports whether every subtree of the delta is whole.
func isComplete(delta Delta) bool {
	return !slices.ContainsFunc(delta.Subtrees, func(change SubtreeDelta) bool { return change.Base != 0 })
}

// applySubtree returns the new version of one subtree, or false when it cannot
// be derived from the version in cut or would be older.
func applySubtree(cut model.Cut, change SubtreeDelta, revision model.Revision) (*model.Subtree, bool) {
	previous := cut.Subtrees[change.Subtree.Key]
	if change.Subtree.Revision == 0 || change.Subtree.Revision > revision {
		return nil, false
	}
	if fromOlderCopy(&change.Subtree, previous) {
		return &change.Subtree, true // keepNewer replaces it once the digest is verified
	}
	if !change.Subtree.NewerThan(previous) && change.Subtree.Revision != previous.Revision {
		return previous, bothRemoved(previous, &change.Subtree)
	}
	if change.Base == 0 {
		return verifyWhole(change)
	}
	if change.Base > cut.Revision || !hasLeaves(previous) {
		return nil, false
	}
	return mergeSubtree(previous, change.Subtree)
}

// verifyWhole returns a subtree that was sent whole, or false if it is not intact.
func verifyWhole(change SubtreeDelta) (*model.Subtree, bool) {
	subtree := change.Subtree
	if change.Base != 0 || subtree.Revision == 0 {
		return nil, false
	}
	if !hasLeaves(&subtree) {
		subtree.Leaves, subtree.Dropped, subtree.Horizon = nil, nil, subtree.Revision
		return &subtree, !subtree.Removed || len(subtree.Rejected) == 0
	}
	return &subtree, isIntact(&subtree)
}

// mergeSubtree applies changed and dropped leaves to the previous version. It
// returns false if the result is not intact.
func mergeSubtree(previous *model.Subtree, change model.Subtree) (*model.Subtree, bool) {
	leaves := make(map[string]model.Leaf, len(previous.Leaves)+len(change.Leaves))
	for _, leaf := range previous.Leaves {
		leaves[leaf.Path] = leaf
	}
	dropped := make(map[string]model.Revision, len(previous.Dropped)+len(change.Dropped))
	for _, d := range previous.Dropped {
		dropped[d.Path] = d.Changed
	}
	for _, d := range change.Dropped {
		delete(leaves, d.Path)
		dropped[d.Path] = max(d.Changed, dropped[d.Path])
	}
	for _, leaf := range change.Leaves {
		leaves[leaf.Path] = leaf
		delete(dropped, leaf.Path)
	}
	next := change
	next.Leaves = slices.Collect(maps.Values(leaves))
	model.SortLeaves(next.Leaves)
	next.Dropped, next.Horizon = boundDropped(dropped, previous.Horizon)
	return &next, isIntact(&next)
}

// isIntact reports whether the leaves are in order, no stamp is later than the
// subtree's revision, and the hash matches.
func isIntact(subtree *model.Subtree) bool {
	for i, leaf := range subtree.Leaves {
		if leaf.Changed > subtree.Revision {
			return false
		}
		if i > 0 && subtree.Leaves[i-1].Path >= leaf.Path {
			return false
		}
	}
	return model.HashLeaves(subtree.Leaves) == subtree.Hash
}
