package model

import "time"

// Presence is the state of an instance as its own node announces it. Within one
// incarnation it never decreases.
type Presence uint8

const (
	// PresenceUnknown means that the instance has not announced itself.
	PresenceUnknown Presence = iota
	// PresenceStarting means that the node runs and its server is not ready.
	PresenceStarting
	// PresenceReady means that the server accepts requests.
	PresenceReady
	// PresenceLeaving means that the server is draining: it finishes its work
	// and accepts no new requests.
	PresenceLeaving
	// PresenceGone means that the node has shut down.
	PresenceGone
)

// String returns the name used in status pages and logs.
func (p Presence) String() string {
	switch p {
	case PresenceStarting:
		return "starting"
	case PresenceReady:
		return "ready"
	case PresenceLeaving:
		return "leaving"
	case PresenceGone:
		return "gone"
	default:
		return "unknown"
	}
}

// Listing is the state of an instance in the platform's list, which may lag
// behind the instance.
type Listing uint8

const (
	// ListingUnknown means that the platform has not listed the instance.
	ListingUnknown Listing = iota
	// ListingLive means that the platform lists it as live.
	ListingLive
	// ListingLeaving means that the platform lists it as leaving.
	ListingLeaving
	// ListingRemoved means that the platform no longer lists it.
	ListingRemoved
)

// String returns the name used in status pages and logs.
func (l Listing) String() string {
	switch l {
	case ListingLive:
		return "live"
	case ListingLeaving:
		return "leaving"
	case ListingRemoved:
		return "removed"
	default:
		return "unknown"
	}
}

// Addresses are the host:port pairs of one node.
type Addresses struct {
	// Traffic accepts requests from other nodes.
	Traffic string `json:"traffic"`
	// Control accepts state exchanges with other nodes.
	Control string `json:"control"`
	// Operator serves status, timeline and metrics.
	Operator string `json:"operator"`
}

// Announcement is the state that a node publishes about its own instance. The
// greater incarnation wins; within one, the greater presence.
type Announcement struct {
	Incarnation Incarnation `json:"incarnation"`
	Presence    Presence    `json:"presence"`
}

// Supersedes reports whether a replaces b.
func (a Announcement) Supersedes(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Presence > b.Presence
}

// Member is the record of one instance. The announcement and the listing
// come from different writers and are merged independently of each other.
type Member struct {
	ID        InstanceID    `json:"id"`
	Service   ServiceName   `json:"service"`
	Domain    FailureDomain `json:"domain"`
	Addresses Addresses     `json:"addresses"`
	// Announced is the newest announcement of the instance's node.
	Announced Announcement `json:"announced"`
	// Listed is the platform's state at ListedAt; the greater revision wins.
	Listed   Listing  `json:"listed"`
	ListedAt Revision `json:"listed_at"`
	// Slots is the number of requests that the server runs at a time; 0 means the
	// number that the service declares.
	Slots int `json:"slots,omitempty"`
	// Started distinguishes successive starts of a listed server; 0 means unknown.
	Started Incarnation `json:"started,omitempty"`
	// WarmupLeft is how much longer the server is cold, as the platform listed it at
	// ListedAt; 0 if it is warm. It grows old on its way, so it is an upper bound of what
	// is left when it is received.
	WarmupLeft time.Duration `json:"warmup_left,omitempty"`
}

// Present reports whether new requests may be sent to the instance.
func (m Member) Present() bool {
	if m.Listed == ListingLeaving || m.Listed == ListingRemoved {
		return false
	}
	switch m.Announced.Presence {
	case PresenceReady:
		return true
	case PresenceUnknown:
		return m.Listed == ListingLive
	default:
		return false
	}
}

// NewerThan reports whether the record describes a later start of a server than
// other, a record with the same address.
func (m Member) NewerThan(other Member) bool {
	if m.Started != other.Started {
		return m.Started > other.Started
	}
	return m.ListedAt > other.ListedAt
}
