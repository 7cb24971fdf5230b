package rank

import (
	"slices"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// fanOut is the number of nodes that poll the same upstream.
	fanOut = 2
	// minTolerance and toleranceDivisor bound the distance, in positions, of a node's
	// upstream from the ideal one before the node changes it: the larger of
	// minTolerance and the ideal position divided by toleranceDivisor. With no
	// tolerance, each new instance would change the upstreams of half of its failure
	// domain.
	minTolerance     = 2
	toleranceDivisor = 8
)

// Role determines from where a node gets changes.
type Role struct {
	// Reader is true if the node reads the platform.
	Reader bool
	// ReaderIndex is the number of readers that precede this one. They read the
	// platform first, so that this one gets the changes from its upstream.
	ReaderIndex int
	// Upstream is the node to poll; its ID is empty for the first reader. Each other
	// reader polls the preceding one.
	Upstream model.Member
}

// Decide returns the role of self. The upstream always precedes self in the
// order by hash, so there is no cycle even if the nodes' views differ. The current
// upstream is kept while it is available and near the ideal position.
func Decide(view *members.View, self model.Self, current model.InstanceID, seen Evidence) Role {
	candidates := eligiblePredecessors(view, self)
	if n := countIncluded(candidates, seen.Silent); n < Readers {
		return Role{Reader: true, ReaderIndex: n, Upstream: lastIncluded(candidates, seen.Silent)}
	}
	ideal := parentPosition(len(candidates), Readers, fanOut)
	unavailable := func(id model.InstanceID) bool { return seen.Silent(id) || seen.Busy(id) }
	if kept := withinTolerance(candidates, ideal, current); kept != nil && !unavailable(kept.ID) {
		return Role{Upstream: *kept}
	}
	tree := tree{candidates: candidates, readers: Readers, fanOut: fanOut}
	if next := tree.choose(ideal, self, unavailable); next != nil {
		return Role{Upstream: *next}
	}
	// Not nil, since at least Readers candidates are not silent.
	return Role{Upstream: *tree.choose(ideal, self, seen.Silent)}
}

// parentPosition returns the position of the ideal upstream of a node that is not one
// of the readers, given the position of the node and the number of nodes that poll the
// same upstream.
func parentPosition(position, readers, fanOut int) int { return (position - readers) / fanOut }

// tree is the order of the nodes that precede a node, of which the first are readers.
type tree struct {
	candidates []*model.Member
	readers    int
	fanOut     int
}

func countIncluded(candidates []*model.Member, excluded Excluded) int {
	n := 0
	for _, m := range candidates {
		if !excluded(m.ID) {
			n++
		}
	}
	return n
}

// lastIncluded returns the last candidate that is not excluded, or a member without
// an ID.
func lastIncluded(candidates []*model.Member, excluded Excluded) model.Member {
	for _, m := range slices.Backward(candidates) {
		if !excluded(m.ID) {
			return *m
		}
	}
	return model.Member{}
}

// withinTolerance returns the current upstream if it is near the ideal position,
// otherwise nil.
func withinTolerance(candidates []*model.Member, ideal int, current model.InstanceID) *model.Member {
	if current == "" {
		return nil
	}
	tolerance := max(minTolerance, ideal/toleranceDivisor)
	from := max(0, ideal-tolerance)
	to := min(len(candidates), ideal+tolerance+1)
	for _, m := range candidates[from:to] {
		if m.ID == current {
			return m
		}
	}
	return nil
}

// choose returns the first candidate that is not excluded, in this order: the ideal
// upstream, the ideal upstreams above it up to a reader, the other readers, all
// others. It returns nil if all are excluded.
func (t tree) choose(ideal int, self model.Self, excluded Excluded) *model.Member {
	for position := ideal; ; position = parentPosition(position, t.readers, t.fanOut) {
		if !excluded(t.candidates[position].ID) {
			return t.candidates[position]
		}
		if position < t.readers {
			break
		}
	}
	offset := int(members.Hash(self.ID) % uint64(len(t.candidates)))
	for i := range t.readers {
		if m := t.candidates[(offset+i)%t.readers]; !excluded(m.ID) {
			return m
		}
	}
	for i := range t.candidates {
		if m := t.candidates[(offset+i)%len(t.candidates)]; !excluded(m.ID) {
			return m
		}
	}
	return nil
}
