// Package replicate decides what one node must send another so that both know
// the same cut, and applies what was received. It is pure: no I/O, no clock.
//
// A leaf is stamped with the revision at which it was seen to change. A node
// that skips revisions stamps late but never early, so the leaves stamped after
// a base revision contain every change since that base. The one exception is a
// value that changed and changed back between two observations; the hash of
// the subtree exposes it, and the receiver asks for the whole subtree.
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
	// Running holds the sender's running subtrees that differ from the cut: all
	// of them for a fresh process, where a removed subtree of revision 0 means
	// that the sender runs no version of the key; else see [HeldRunning].
	Running []SubtreeDelta
	// Bootstrap marks the answer to a fresh process.
	Bootstrap bool
}

// SubtreeDelta turns the base version of one subtree into a newer version.
type SubtreeDelta struct {
	// Subtree carries the new version; with a base, Leaves and Dropped hold only
	// what changed after Base.
	Subtree model.Subtree
	// Base is the cut revision that the delta starts from; 0 means that the
	// subtree is whole.
	Base model.Revision
}

// Diff returns what a node whose cut has the revision base lacks of cut. The
// subtrees of the keys in whole are sent whole, changed or not. Base 0 yields
// the complete cut.
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

// Bootstrap returns all that a fresh process needs: the complete cut, and the
// running subtrees that differ from it.
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

// RunningOf returns the running subtrees of the sender of a bootstrap delta,
// given the cut that the delta led to. Subtrees that fail their hash check are
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
		if subtree, ok := takeWhole(received); ok {
			running[key] = subtree
		}
	}
	return running
}

// HeldRunning returns the running subtrees of the keys whose newest version is
// not in force. A node that never saw such a version, because a faulty one
// followed at once, can take it over and so run what its peers run. Versions up
// to the caller's cut revision base are left out, as the caller saw those.
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

// VerifiedRunning returns the sound subtrees among those that a peer runs.
func VerifiedRunning(running []SubtreeDelta) []*model.Subtree {
	var out []*model.Subtree
	for _, received := range running {
		if subtree, ok := takeWhole(received); ok {
			out = append(out, subtree)
		}
	}
	return out
}

// sameVersion reports whether a subtree of the cut is the running one. Absent
// and removed are the same.
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
