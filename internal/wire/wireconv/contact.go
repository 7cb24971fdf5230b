package wireconv

import (
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// ContactToWire converts a node's contact with the platform to its wire value.
func ContactToWire(c model.PlatformContact) wire.PlatformContact {
	switch c {
	case model.ContactCurrent:
		return wire.PlatformContact_PLATFORM_CONTACT_CURRENT
	case model.ContactInterim:
		return wire.PlatformContact_PLATFORM_CONTACT_INTERIM
	case model.ContactRelayed:
		return wire.PlatformContact_PLATFORM_CONTACT_RELAYED
	case model.ContactLost:
		return wire.PlatformContact_PLATFORM_CONTACT_LOST
	default:
		return wire.PlatformContact_PLATFORM_CONTACT_NONE
	}
}

// ContactFromWire is the inverse of ContactToWire. An unknown wire value becomes
// ContactNone.
func ContactFromWire(c wire.PlatformContact) model.PlatformContact {
	switch c {
	case wire.PlatformContact_PLATFORM_CONTACT_CURRENT:
		return model.ContactCurrent
	case wire.PlatformContact_PLATFORM_CONTACT_INTERIM:
		return model.ContactInterim
	case wire.PlatformContact_PLATFORM_CONTACT_RELAYED:
		return model.ContactRelayed
	case wire.PlatformContact_PLATFORM_CONTACT_LOST:
		return model.ContactLost
	default:
		return model.ContactNone
	}
}
