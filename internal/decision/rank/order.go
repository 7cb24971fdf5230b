// Package rank decides from a node's view of the members which nodes read the
// platform, which node a node polls and to which nodes it announces changes. All
// decisions derive from the order of a failure domain's members by hash of the
// instance ID. The package is pure: no I/O, no clock; randomness is an argument.
package rank

import (
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// Readers is the number of nodes of a failure domain that read the platform.
const Readers = 3

// Excluded reports whether a node must not be used at present.
type Excluded func(model.InstanceID) bool

// None excludes no node.
func None(model.InstanceID) bool { return false }

// Eligible reports whether an instance's node can serve others: it has not
// announced that it is leaving or gone, and the platform does not list it as
// leaving or removed. An instance without an announcement must be listed as live.
func Eligible(m *model.Member) bool {
	if m.Addresses.Control == "" {
		return false
	}
	switch m.Announced.Presence {
	case model.PresenceLeaving, model.PresenceGone:
		return false
	case model.PresenceUnknown:
		return m.Listed == model.ListingLive
	default:
		return m.Listed != model.ListingLeaving && m.Listed != model.ListingRemoved
	}
}

// eligibleInDomain returns the eligible members of a failure domain in order of
// their hash.
func eligibleInDomain(view *members.View, domain model.FailureDomain) []*model.Member {
	var out []*model.Member
	for m := range view.EachInDomain(domain) {
		if Eligible(m) {
			out = append(out, m)
		}
	}
	return out
}

// eligiblePredecessors returns the eligible members of self's failure domain that
// precede self in the order by hash.
func eligiblePredecessors(view *members.View, self model.Self) []*model.Member {
	hash := members.Hash(self.ID)
	var out []*model.Member
	for m := range view.EachInDomain(self.Domain) {
		if !precedes(m, hash, self.ID) {
			break
		}
		if Eligible(m) {
			out = append(out, m)
		}
	}
	return out
}

func precedes(m *model.Member, hash uint64, id model.InstanceID) bool {
	other := members.Hash(m.ID)
	if other != hash {
		return other < hash
	}
	return m.ID < id
}

// ReadersOf returns the members of a failure domain that read the platform,
// except for the excluded ones, which the next members replace.
func ReadersOf(view *members.View, domain model.FailureDomain, excluded Excluded) []model.Member {
	var out []model.Member
	for m := range view.EachInDomain(domain) {
		if !Eligible(m) || excluded(m.ID) {
			continue
		}
		if out = append(out, *m); len(out) == Readers {
			break
		}
	}
	return out
}
