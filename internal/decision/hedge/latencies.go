package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// generation is the time covered by one of the two histograms of a route. The two
	// cover the last 10 to 20 s.
	generation = 10 * time.Second
	// latencyUnit is the unit of the recorded values. maxLatency is the largest one, the
	// longest usual deadline.
	latencyUnit = 100 * time.Microsecond
	maxLatency  = time.Minute
	// digits is the precision of the histograms. One digit gives steps of 6 % and
	// histograms of 2.2 KiB, two digits 14 KiB.
	digits = 1
	// minSamples is the number of samples from which on a delay is derived: about three
	// of them are above the highest quantile.
	minSamples = 60
	// delayAge is how long a derived delay is used. Deriving it costs about as much as
	// 100 samples.
	delayAge = 500 * time.Millisecond
	// minDelay bounds the delay from below: a hop between failure domains alone takes 9 ms.
	minDelay = 10 * time.Millisecond
)

// quantiles are the quantiles that are tried as a delay, in this order. A lower one hedges
// more requests that would have ended soon.
var quantiles = [...]float64{0.95, 0.9, 0.8}

// Delay is when to hedge a request.
type Delay struct {
	// After is the time after which the request is hedged.
	After time.Duration
	// Typical is the median of the time that requests take.
	Typical time.Duration
}

// Before returns after which time to hedge a request that has this much time until its
// latency objective. While hedges are scarce, they are left for the requests that would
// otherwise miss the objective: the hedge is sent as late as a usual server allows.
func (d Delay) Before(objectiveLeft time.Duration, scarce bool) time.Duration {
	if !scarce {
		return d.After
	}
	return max(d.After, objectiveLeft-time.Duration(minTimeLeft*float64(d.Typical)))
}

// Latencies holds the times that first attempts of the requests of one route took
// recently. It occupies about 7 KiB.
type Latencies struct {
	window  *hdrhistogram.WindowedHistogram
	rotated time.Duration
	// delay was derived at derivedAt; derived is false before the first time, worth is
	// false if hedging does not pay.
	delay          Delay
	derivedAt      time.Duration
	derived, worth bool
}

// NewLatencies returns an empty record.
func NewLatencies() *Latencies {
	return &Latencies{window: hdrhistogram.NewWindowed(2, 1, int64(maxLatency/latencyUnit), digits)}
}

// Answered records the time that an answered first attempt took.
func (l *Latencies) Answered(took, now time.Duration) {
	l.rotate(now)
	// The value is within the range of the histogram, so that there is no error.
	_ = l.window.Current.RecordValue(int64(min(max(took, latencyUnit), maxLatency) / latencyUnit))
}

// Abandoned records the time after which a first attempt was given up, because its hedge
// or the deadline came first. This is a lower bound of what it would have taken. It counts
// if it is at least the delay, so that requests which lose against their hedges
// do not vanish from the quantile and lower it further and further.
func (l *Latencies) Abandoned(took, now time.Duration) {
	if l.derived && took >= l.delay.After {
		l.Answered(took, now)
	}
}

// Delay returns when requests of the route are to be hedged now. It returns false if too
// little is known or if hedging does not pay.
func (l *Latencies) Delay(now time.Duration) (Delay, bool) {
	l.rotate(now)
	if !l.derived || now-l.derivedAt >= delayAge {
		l.derive(now)
	}
	return l.delay, l.worth
}

// Last returns what Delay returned last, and changes nothing.
func (l *Latencies) Last() (Delay, bool) { return l.delay, l.derived && l.worth }

// rotate drops what is older than two generations.
func (l *Latencies) rotate(now time.Duration) {
	if now-l.rotated < generation {
		return
	}
	l.window.Rotate()
	if now-l.rotated >= 2*generation {
		l.window.Rotate()
	}
	l.rotated = now
}

// worthShare is the share of the requests above the delay that must take longer than the
// delay and a typical request together, so that hedging pays. A tail of requests that are
// only somewhat slower than the others is not hedged.
const worthShare = 1.0 / 3

// derive chooses the highest quantile for which hedging pays.
func (l *Latencies) derive(now time.Duration) {
	l.derivedAt, l.derived, l.worth = now, true, false
	h := l.window.Merge()
	if h.TotalCount() < minSamples {
		return
	}
	at := func(quantile float64) time.Duration {
		const percent = 100
		return time.Duration(h.ValueAtQuantile(quantile*percent)) * latencyUnit
	}
	typical := at(0.5)
	for _, q := range quantiles {
		l.delay = Delay{After: max(at(q), minDelay), Typical: typical}
		if l.worth = at(1-(1-q)*worthShare) > l.delay.After+typical; l.worth {
			return
		}
	}
}
