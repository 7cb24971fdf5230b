package wireconv

import (
	"time"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// SuspectsToWire converts suspects; their end travels as the time that is left.
func SuspectsToWire(suspects []quarantine.Suspect, now time.Time) []*wire.Suspect {
	var out []*wire.Suspect
	for _, s := range suspects {
		crashed := make([]string, len(s.Crashed))
		for i, id := range s.Crashed {
			crashed[i] = string(id)
		}
		out = append(out, &wire.Suspect{
			Fingerprint:           uint64(s.Fingerprint),
			Crashes:               uint32(len(crashed)),
			Crashed:               crashed,
			ExpiresInMilliseconds: uint32(max(0, s.Expires.Sub(now).Milliseconds())),
		})
	}
	return out
}

// SuspectsFromWire is the inverse of SuspectsToWire.
func SuspectsFromWire(messages []*wire.Suspect, now time.Time) []quarantine.Suspect {
	var out []quarantine.Suspect
	for _, m := range messages {
		crashed := make([]model.InstanceID, len(m.GetCrashed()))
		for i, id := range m.GetCrashed() {
			crashed[i] = model.InstanceID(id)
		}
		out = append(out, quarantine.Suspect{
			Fingerprint: quarantine.Fingerprint(m.GetFingerprint()),
			Crashed:     crashed,
			Expires:     now.Add(time.Duration(m.GetExpiresInMilliseconds()) * time.Millisecond),
		})
	}
	return out
}
