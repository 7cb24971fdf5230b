package hedge

import "time"

const (
	// gainDivisor is the inverse of the weight of one hedge in the share of those that won.
	gainDivisor = 32
	// minGain is the share of won hedges below which a route is hedged only to probe: its
	// requests then take as long at another server.
	minGain = 0.15
	// probeInterval is the time between two probes.
	probeInterval = 2 * time.Second
)

// Gain tells whether the hedges of one route are faster than the first attempts often
// enough. The zero value assumes that they are.
type Gain struct {
	lost    float64 // share of hedges that did not win
	started time.Duration
	any     bool
}

// Started records that a hedge was sent.
func (g *Gain) Started(now time.Duration) { g.started, g.any = now, true }

// Ended records whether a hedge responded first.
func (g *Gain) Ended(won bool) {
	sample := 1.0
	if won {
		sample = 0
	}
	g.lost += (sample - g.lost) / gainDivisor
}

// Won returns the share of recent hedges that responded first.
func (g *Gain) Won() float64 { return 1 - g.lost }

// Allows reports whether a request may be hedged.
func (g *Gain) Allows(now time.Duration) bool {
	return g.Won() >= minGain || !g.any || now-g.started >= probeInterval
}

// loserFactor is the ratio of the latency that is assumed of the server of a first attempt to
// the time after which its hedge won. With 4, more requests missed their objective because of
// one server 5 times slower than without hedges, with 16 fewer hedges were of use elsewhere.
const loserFactor = 8

// LoserLatency returns the latency to assume for the server of a first attempt that was
// cancelled because its hedge won. With the time until then, a slow server whose requests
// are hedged would look hardly slower than others and get more requests.
func LoserLatency(took time.Duration) time.Duration { return loserFactor * took }
