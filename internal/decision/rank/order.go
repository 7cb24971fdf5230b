// Package rank decides from a node's view of the members which nodes read the
// platform, whom a node polls and to whom it announces changes. All decisions
// follow from the order of a failure domain by hash of the instance ID. It is
// pure: no I/O, no clock; randomness is an argument.
package rank

import (
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// Readers is the number of nodes of a failure domain that read the platform.
const Readers = 3

// Excluded tells whether a node failed to answer recently.
type Excluded func(model.InstanceID) bool

// None excludes no node.
func None(model.InstanceID) bool { return false }

// Eligible reports whether an instance's node can serve others: it has not
// announced its end and the platform does not list it as leaving.
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

// order returns the eligible members of a failure domain in order of their
// hash.
func order(view *members.View, domain model.FailureDomain) []*model.Member {
	var out []*model.Member
	for m := range view.EachInDomain(domain) {
		if Eligible(m) {
			out = append(out, m)
		}
	}
	return out
}

// before returns the eligible members of the own domain that precede self.
func before(view *members.View, self model.Self) []*model.Member {
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
// except for the excluded ones, whose places the next ones take.
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
