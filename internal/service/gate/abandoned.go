package gate

import (
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
)

const (
	// abandonedWindow is how long a request whose connection the gate closed
	// is assumed to run on the server.
	abandonedWindow = 5 * time.Second
	// abandonedBesideSuspect is that time where a suspect is held responsible for a crash
	// because it ran alone. Most servers drop a request when its connection closes; with
	// the longer time, hedges that lost would keep each suspect from having run alone.
	abandonedBesideSuspect = time.Second
	// maxAbandoned bounds the requests that are remembered.
	maxAbandoned = 64
)

// abandoned holds the requests whose connection the gate closed before the server
// responded. They may still crash it. It is safe for concurrent use.
type abandoned struct {
	mu      sync.Mutex
	entries []abandonedEntry
}

type abandonedEntry struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

func (a *abandoned) add(f quarantine.Fingerprint, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, abandonedEntry{fingerprint: f, at: now})
	if len(a.entries) > maxAbandoned {
		a.entries = append(a.entries[:0], a.entries[1:]...)
	}
}

// take removes all entries and returns those that are not older than the window.
func (a *abandoned) take(now time.Time, window time.Duration) []quarantine.Fingerprint {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []quarantine.Fingerprint
	for _, e := range a.entries {
		if now.Sub(e.at) < window {
			out = append(out, e.fingerprint)
		}
	}
	a.entries = nil
	return out
}
