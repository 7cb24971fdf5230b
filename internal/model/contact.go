package model

// PlatformContact tells where a node gets its configuration.
type PlatformContact uint8

const (
	// ContactNone means from another node.
	ContactNone PlatformContact = iota
	// ContactLost means from the platform, which does not answer at present.
	ContactLost
	// ContactCurrent means from the platform, whose last call was answered.
	ContactCurrent
	// ContactInterim is ContactCurrent of a node whose link does not carry the
	// configuration and that has found no other node to follow.
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
