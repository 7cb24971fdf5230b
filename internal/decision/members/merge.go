package members

import "github.com/galenalever/galenalever/internal/model"

// Merge merges two records of one instance and reports whether the result differs
// from known. The announcement and the listing are merged independently: the newer
// announcement wins, together with the attributes that the node announced about
// itself, and the listing with the greater revision wins.
func Merge(known, received model.Member) (model.Member, bool) {
	merged := known
	if received.Announced.Supersedes(known.Announced) {
		merged = received
		merged.Listed, merged.ListedAt, merged.WarmupLeft = known.Listed, known.ListedAt, known.WarmupLeft
	}
	if received.ListedAt > merged.ListedAt {
		merged.Listed, merged.ListedAt, merged.WarmupLeft = received.Listed, received.ListedAt, received.WarmupLeft
		if merged.Announced.Presence == model.PresenceUnknown && received.Service != "" {
			adoptAttributes(&merged, received)
		}
	}
	return merged, merged != known
}

// adoptAttributes copies the attributes of a newer listing to the record of an
// instance that has not announced itself.
func adoptAttributes(m *model.Member, listed model.Member) {
	m.Service = listed.Service
	m.Domain = listed.Domain
	m.Addresses = listed.Addresses
	m.Slots = listed.Slots
	m.Started = listed.Started
}

// Departed reports whether the instance is gone. It can return only with a newer
// incarnation or listing.
func Departed(m model.Member) bool {
	return m.Announced.Presence == model.PresenceGone || m.Listed == model.ListingRemoved
}

// Reassert returns the announcement with which a process supersedes a received one
// about its own instance, such as one of an earlier process whose clock was ahead.
// If received does not supersede own, it returns own unchanged.
func Reassert(own, received model.Announcement) model.Announcement {
	if received.Supersedes(own) {
		own.Incarnation = received.Incarnation + 1
	}
	return own
}
