// Package warmup decides how many requests a backend server may receive while it is
// cold. A cold server, one that has started recently or has lost its caches, is slow and
// crashes at a rate well above the one that it declares; a crashed server comes back cold, so an
// overload of cold servers sustains itself. The package derives from evidence until when
// the server is cold, and admits in each sliding second no more than the declared rate
// allows. It does no I/O and reads no clock.
package warmup

import (
	"math"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Bounds state what a mesh tolerates at its cold servers: in any sliding second at most
// rate x Excess + Slack requests, where rate is the one that the service declares.
type Bounds struct {
	Excess, Slack float64
}

// Limits are the limits of the servers of one service. With a Rate or Warmup of 0 they
// are never cold.
type Limits struct {
	// Rate is the number of requests per second that a cold server tolerates.
	Rate float64
	// Warmup is the longest time for which a server is cold after one piece of evidence.
	Warmup time.Duration
	// Excess multiplies Rate.
	Excess float64
}

// Limits returns the limits of a service's servers. An Excess of 0 counts as 1.
func (b Bounds) Limits(service *model.Service) Limits {
	if b.Excess == 0 {
		b.Excess = 1
	}
	return Limits{Rate: service.WarmupRate, Warmup: service.Warmup, Excess: b.Excess}
}

// Declared reports whether servers need a warm-up at all.
func (l Limits) Declared() bool { return l.Rate > 0 && l.Warmup > 0 }

// PerSecond returns the largest number of requests that a cold server may receive in any
// second, at least 1. The slack is not used up: it is the margin for requests that the
// gate does not see.
func (l Limits) PerSecond() int {
	return int(max(1, min(math.Floor(l.Rate*l.Excess), maxPerSecond)))
}

// maxPerSecond bounds PerSecond, and so the log of sent requests; no server is so fast.
const maxPerSecond = 100_000
