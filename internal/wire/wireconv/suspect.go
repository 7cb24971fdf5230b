package wireconv

import (
	"time"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// SuspectsToWire converts suspects to messages. Expiry is sent as the time left
// from now, so that nodes need no common clock.
func SuspectsToWire(suspects []quarantine.Suspect, now time.Time) []*wire.Suspect {
	var out []*wire.Suspect
	for _, s := range suspects {
		out = append(out, &wire.Suspect{
			Fingerprint:           uint64(s.Fingerprint),
			Crashes:               crashesToWire(s.Crashes),
			Cleared:               crashesToWire(s.Cleared),
			ExpiresInMilliseconds: uint32(max(0, s.Expires.Sub(now).Milliseconds())),
		})
	}
	return out
}

// SuspectsFromWire is the inverse of SuspectsToWire; now is the receiver's time.
func SuspectsFromWire(messages []*wire.Suspect, now time.Time) []quarantine.Suspect {
	var out []quarantine.Suspect
	for _, m := range messages {
		out = append(out, quarantine.Suspect{
			Fingerprint: quarantine.Fingerprint(m.GetFingerprint()),
			Crashes:     crashesFromWire(m.GetCrashes()),
			Cleared:     crashesFromWire(m.GetCleared()),
			Expires:     now.Add(time.Duration(m.GetExpiresInMilliseconds()) * time.Millisecond),
		})
	}
	return out
}

func crashesToWire(crashes []quarantine.Crash) []*wire.Crash {
	var out []*wire.Crash
	for _, c := range crashes {
		out = append(out, &wire.Crash{Instance: string(c.Instance), Time: c.Time, Alone: c.Alone})
	}
	return out
}

func crashesFromWire(messages []*wire.Crash) []quarantine.Crash {
	var out []quarantine.Crash
	for _, m := range messages {
		out = append(out, quarantine.Crash{Instance: model.InstanceID(m.GetInstance()), Time: m.GetTime(), Alone: m.GetAlone()})
	}
	return out
}
