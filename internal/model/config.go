package model

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/galenalever/galenalever/internal/findings"
)

// Key names one value of the platform's configuration service: the root
// document, one team's document or the evacuation of one failure domain.
type Key string

// RootKey is the key of the root document, which holds the grants of all teams.
const RootKey Key = "root"

// TeamKey returns the key of a team's document.
func TeamKey(team TeamName) Key { return Key(teamKeyPrefix + string(team)) }

// Leaf is the smallest unit of a delta: one service, route or grant in its
// canonical encoding.
type Leaf struct {
	// Path is unique within the subtree, such as "routes/book".
	Path string
	// Value is the canonical JSON encoding of the typed value.
	Value []byte
	// Changed is the leaf's stamp: the subtree revision at which its change was
	// observed. It is never earlier than the revision that made the change.
	Changed Revision
}

// Hash is a SHA-256 digest.
type Hash [sha256.Size]byte

// DroppedLeaf records the removal of a leaf, so that deltas carry it.
type DroppedLeaf struct {
	Path string
	// Changed is the subtree revision at which the removal was observed.
	Changed Revision
}

// Subtree is one version of one document. It is accepted as a whole or not at all.
type Subtree struct {
	Key      Key
	Revision Revision
	// Version is the number that the operator gave this version of the document; 0 if
	// there is none.
	Version uint64
	// Removed marks a tombstone: the document was deleted. It has no leaves.
	Removed bool
	// Rejected holds the findings of a document that cannot be parsed or is
	// not valid on its own. It has no leaves and is never accepted.
	Rejected findings.List
	// Leaves are sorted by path.
	Leaves []Leaf
	// Dropped lists the leaves removed since Horizon, sorted by path. A delta
	// from a base before Horizon must carry the whole subtree.
	Dropped []DroppedLeaf
	Horizon Revision
	// Hash covers the paths and values of all leaves.
	Hash Hash
}

// NewerThan reports whether s replaces known, a version of the same document that may be
// nil. Within an era of the platform the revisions decide. Between two eras the operator's
// numbers do, if both have one: a platform that returns from an older copy brings older
// versions back at later revisions.
func (s *Subtree) NewerThan(known *Subtree) bool {
	if known == nil {
		return true
	}
	if s.Revision.Era() != known.Revision.Era() && s.Version > 0 && known.Version > 0 && s.Version != known.Version {
		return s.Version > known.Version
	}
	return s.Revision > known.Revision
}

// HashLeaves returns the digest over the paths and values of leaves, which are
// sorted by path.
func HashLeaves(leaves []Leaf) Hash {
	h := sha256.New()
	var size [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		h.Write(size[:])
		h.Write(b)
	}
	for _, leaf := range leaves {
		write([]byte(leaf.Path))
		write(leaf.Value)
	}
	return Hash(h.Sum(nil))
}

// SortLeaves orders leaves by path.
func SortLeaves(leaves []Leaf) {
	slices.SortFunc(leaves, func(a, b Leaf) int { return cmp.Compare(a.Path, b.Path) })
}

// Cut is a consistent snapshot of the configuration service: for every key the
// latest subtree at or before Revision. Cuts are totally ordered by revision; a
// node never returns to an earlier one.
type Cut struct {
	Revision Revision
	Subtrees map[Key]*Subtree
}

// HeldSubtree is a subtree of the cut that the node does not run, with the reasons.
type HeldSubtree struct {
	Key      Key           `json:"key"`
	Revision Revision      `json:"revision"`
	Findings findings.List `json:"findings"`
}

// Configuration holds the newest configuration that a node knows and the accepted
// one that it runs. It is an immutable snapshot.
type Configuration struct {
	// Cut is the newest state known, accepted or not.
	Cut Cut
	// Running holds the accepted subtree of each key. The revision of a key
	// never decreases, also when its document is removed.
	Running map[Key]*Subtree
	// Held lists the subtrees of the cut that are not in Running.
	Held []HeldSubtree
	// Tree is the settings tree composed from Running.
	Tree *Tree
}
