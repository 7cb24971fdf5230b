// Package replicate decides what one node must send another so that both know
// the same cut, and applies what was received. It is pure: no I/O, no clock.
package replicate

import "github.com/galenalever/galenalever/internal/model"

// Delta is the difference between a base cut and a newer one.
type Delta struct {
	// Revision is the revision of the sender's cut.
	Revision model.Revision
	// Digest covers the keys, revisions and hashes of all subtrees of the cut.
	Digest model.Hash
	// Subtrees holds the subtrees that changed after the base.
	Subtrees []SubtreeDelta
	// Running holds the sender's running subtrees that differ from the cut. It
	// is filled for a fresh process only.
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
