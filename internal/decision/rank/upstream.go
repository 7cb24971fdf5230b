package rank

import (
	"slices"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// fanOut is the number of nodes that poll the same upstream.
	fanOut = 2
	// minTolerance and toleranceShare bound how far, in positions, the upstream
	// may be from the ideal one before a node moves. Without it every new
	// instance would move half of its failure domain.
	minTolerance   = 2
	toleranceShare = 8
)

// Role is what a node does to learn about changes.
type Role struct {
	// Reader is true if the node reads the platform.
	Reader bool
	// Place is the number of readers that come before a reader. They read
	// first, so that the others find the news at their upstream.
	Place int
	// Upstream is the node to poll; its ID is empty for the first reader. Other
	// readers poll the one before them.
	Upstream model.Member
}

// Decide returns the role of self. The upstream always precedes self in the
// order by hash, so there is no cycle whatever other nodes see. The current
// upstream is kept while it is near the ideal position.
func Decide(view *members.View, self model.Self, current model.InstanceID, seen Evidence) Role {
	candidates := before(view, self)
	if n := usable(candidates, seen.Silent); n < Readers {
		return Role{Reader: true, Place: n, Upstream: last(candidates, seen.Silent)}
	}
	ideal := parent(len(candidates))
	unable := func(id model.InstanceID) bool { return seen.Silent(id) || seen.Busy(id) }
	if kept := keep(candidates, ideal, current); kept != nil && !unable(kept.ID) {
		return Role{Upstream: *kept}
	}
	if able := choose(candidates, ideal, self, unable); able != nil {
		return Role{Upstream: *able}
	}
	return Role{Upstream: *choose(candidates, ideal, self, seen.Silent)}
}

// parent returns the ideal upstream's position for a position that is not a
// reader's.
func parent(position int) int { return (position - Readers) / fanOut }

func usable(candidates []*model.Member, excluded Excluded) int {
	n := 0
	for _, m := range candidates {
		if !excluded(m.ID) {
			n++
		}
	}
	return n
}

// last returns the last usable candidate, or a member without an ID.
func last(candidates []*model.Member, excluded Excluded) model.Member {
	for _, m := range slices.Backward(candidates) {
		if !excluded(m.ID) {
			return *m
		}
	}
	return model.Member{}
}

func keep(candidates []*model.Member, ideal int, current model.InstanceID) *model.Member {
	if current == "" {
		return nil
	}
	tolerance := max(minTolerance, ideal/toleranceShare)
	from := max(0, ideal-tolerance)
	to := min(len(candidates), ideal+tolerance+1)
	for _, m := range candidates[from:to] {
		if m.ID == current {
			return m
		}
	}
	return nil
}

// choose returns the first candidate that is not excluded among the ideal
// upstream, its upstreams up to a reader, the other readers and all others.
func choose(candidates []*model.Member, ideal int, self model.Self, excluded Excluded) *model.Member {
	for position := ideal; ; position = parent(position) {
		if !excluded(candidates[position].ID) {
			return candidates[position]
		}
		if position < Readers {
			break
		}
	}
	offset := int(members.Hash(self.ID) % uint64(len(candidates)))
	for i := range Readers {
		if m := candidates[(offset+i)%Readers]; !excluded(m.ID) {
			return m
		}
	}
	for i := range candidates {
		if m := candidates[(offset+i)%len(candidates)]; !excluded(m.ID) {
			return m
		}
	}
	return nil
}
