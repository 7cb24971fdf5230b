package model

// PlatformContact states how current a node's knowledge of the platform is, in a mesh
// whose nodes follow each other.
type PlatformContact uint8

const (
	// ContactNone means that the node does not report its contact.
	ContactNone PlatformContact = iota
	// ContactLost means that the platform does not respond to the node, or that no node
	// that it follows is in contact.
	ContactLost
	// ContactCurrent means that the node reads the platform, which responded to the
	// last call.
	ContactCurrent
	// ContactInterim is like ContactCurrent, but the node reads only until it finds
	// another node to follow.
	ContactInterim
	// ContactRelayed means that the node follows another one that is in contact.
	ContactRelayed
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
	case ContactRelayed:
		return "relayed"
	default:
		return "none"
	}
}
