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
)

// String returns the name used in logs.
func (c PlatformContact) String() string {
	switch c {
	case ContactLost:
		return "lost"
	case ContactCurrent:
		return "current"
	default:
		return "none"
	}
}
