// Package replicate computes the delta that brings another node to the same cut,
// and applies received deltas. The package does no I/O and reads no clock.
//
// A leaf is stamped with the revision at which a node observed its change. A node
// that skips revisions may stamp a change late but never early, so the leaves
// stamped after a base revision contain every change since that base. The only
// exception is a value that changed and changed back between two observations:
// the hash of the subtree then does not match, and the receiver asks for the whole
// subtree.
package replicate

import (
	"maps"
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// Delta is the difference between a base cut and a newer one.
type Delta struct {
	// Revision is the revision of the sender's cut.
	Revision model.Revision
	// Digest covers the keys, revisions and hashes of all present subtrees of
	// the cut; see [Digest].
	Digest model.Hash
	// Subtrees holds the subtrees that changed after the base.
	Subtrees []SubtreeDelta
	// Running holds running subtrees of the sender that differ from the cut. In a
	// bootstrap delta these are all such subtrees, and a removed subtree of
	// revision 0 means that the sender runs no version of the key. For other
	// deltas see [HeldRunning].
	Running []SubtreeDelta
	// Bootstrap marks a delta for a process that has just started.
	Bootstrap bool
}

// SubtreeDelta is the change of one subtree from its base version to a newer one.
type SubtreeDelta struct {
	// Subtree carries the new version; with a base, Leaves and Dropped hold only
	// what changed after Base.
	Subtree model.Subtree
	// Base is the revision of the cut to which the delta applies; 0 means that the
	// subtree is whole.
	Base model.Revision
}

// Diff returns the changes of cut since the revision base. The subtrees of the keys
// in whole are included as a whole, changed or not. Base 0 yields the complete cut.
func Diff(cut model.Cut, base model.Revision, whole []model.Key) Delta {
	delta := Delta{Revision: cut.Revision, Digest: Digest(cut)}
	for _, key := range slices.Sorted(maps.Keys(cut.Subtrees)) {
		subtree := cut.Subtrees[key]
		switch {
		case slices.Contains(whole, key):
			delta.Subtrees = append(delta.Subtrees, SubtreeDelta{Subtree: *subtree})
		case subtree.Revision > base:
			delta.Subtrees = append(delta.Subtrees, diffSubtree(subtree, base))
		}
	}
	return delta
}

func diffSubtree(subtree *model.Subtree, base model.Revision) SubtreeDelta {
	if base == 0 || base < subtree.Horizon || !hasLeaves(subtree) {
		return SubtreeDelta{Subtree: *subtree}
	}
	partial := *subtree
	partial.Leaves = nil
	for _, leaf := range subtree.Leaves {
		if leaf.Changed > base {
			partial.Leaves = append(partial.Leaves, leaf)
		}
	}
	partial.Dropped = nil
	for _, dropped := range subtree.Dropped {
		if dropped.Changed > base {
			partial.Dropped = append(partial.Dropped, dropped)
		}
	}
	return SubtreeDelta{Subtree: partial, Base: base}
}

// Bootstrap returns the delta for a process that has just started: the complete
// cut, and the running subtrees that differ from it.
func Bootstrap(configuration *model.Configuration) Delta {
	delta := Diff(configuration.Cut, 0, nil)
	delta.Bootstrap = true
	keys := make(map[model.Key]struct{})
	for key := range configuration.Cut.Subtrees {
		keys[key] = struct{}{}
	}
	for key := range configuration.Running {
		keys[key] = struct{}{}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		known, running := configuration.Cut.Subtrees[key], configuration.Running[key]
		if sameVersion(known, running) {
			continue
		}
		if running == nil {
			running = &model.Subtree{Key: key, Removed: true}
		}
		delta.Running = append(delta.Running, SubtreeDelta{Subtree: *running})
	}
	return delta
}

// RunningOf returns the running subtrees of the sender of a bootstrap delta. The
// cut is the one that resulted from the delta. Subtrees that are not intact are
// left out.
func RunningOf(cut model.Cut, delta Delta) map[model.Key]*model.Subtree {
	running := make(map[model.Key]*model.Subtree, len(cut.Subtrees))
	for key, subtree := range cut.Subtrees {
		if len(subtree.Rejected) == 0 {
			running[key] = subtree
		}
	}
	for _, received := range delta.Running {
		key := received.Subtree.Key
		delete(running, key)
		if subtree, ok := verifyWhole(received); ok {
			running[key] = subtree
		}
	}
	return running
}

// HeldRunning returns the running subtrees of the keys whose newest version is
// held back. A node that missed the running version, because an invalid one followed
// at once, can adopt it and then runs the same version as its peers. Versions
// up to base, the revision of the caller's cut, are left out: the caller has
// already seen them.
func HeldRunning(configuration *model.Configuration, base model.Revision) []SubtreeDelta {
	var out []SubtreeDelta
	for _, held := range configuration.Held {
		running := configuration.Running[held.Key]
		if running != nil && running.Revision > base {
			out = append(out, SubtreeDelta{Subtree: *running})
		}
	}
	return out
}

// VerifiedRunning returns the intact subtrees among those that a peer runs.
func VerifiedRunning(running []SubtreeDelta) []*model.Subtree {
	var out []*model.Subtree
	for _, received := range running {
		if subtree, ok := verifyWhole(received); ok {
			out = append(out, subtree)
		}
	}
	return out
}

// sameVersion reports whether a subtree of the cut is the running version. An
// absent subtree equals a removed one.
func sameVersion(known, running *model.Subtree) bool {
	if !present(known) || !present(running) {
		return !present(known) && !present(running)
	}
	return known.Revision == running.Revision
}

func present(subtree *model.Subtree) bool { return subtree != nil && !subtree.Removed }

func hasLeaves(subtree *model.Subtree) bool {
	return present(subtree) && len(subtree.Rejected) == 0
}
