package model

// PlatformContact states whether a node reads its configuration from the platform
// itself, and whether the platform responds.
type PlatformContact uint8

const (
	// ContactNone means that the node gets the configuration from another node.
	ContactNone PlatformContact = iota
	// ContactLost means that the node reads the platform, which does not respond.
	ContactLost
	// ContactCurrent means that the node reads the platform, which responded
	// to the last call.
	ContactCurrent
	// ContactInterim is like ContactCurrent, but the node's link is too slow for
	// reading every version whole and the node has found no other node to follow.
	ContactInterim
)

// String returns the name used in logs.
func (c PlatformContact) String() string {
	switch c {
	case ContactLost:
		return "lost"
	case ContactCurrent:
		return "current"
	case ContactInterim:
		return "interim"
	default:
		return "none"
	}
}
