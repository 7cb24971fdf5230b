// Package balance decides which server of a service takes a request. It applies
// the power of two choices: of two random candidates the one of lower estimated
// cost wins. Servers of the caller's own failure domain are preferred, new servers get
// a slow start and failing ones are ejected. The package is pure; random numbers
// and the time, counted from any fixed start, are arguments.
package balance

import (
	"math"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Load is what a server last reported with a response.
type Load struct {
	// InFlight counts the requests that hold a slot, Queued those that wait.
	InFlight, Queued int
	// Wait is how long a request like the reported one would have waited for a
	// slot.
	Wait time.Duration
}

// Statistics is what a caller's node knows about one server.
type Statistics struct {
	// Local is true for a server of the caller's failure domain.
	Local bool
	// Excluded is true for a server that this request must not use again.
	Excluded bool
	// Slots is the number of requests that the server runs at a time and Queue
	// the bound of those that wait.
	Slots, Queue int
	// Outstanding counts this node's own requests at the server.
	Outstanding int
	// Silence is the time for which requests have been outstanding without any
	// response.
	Silence time.Duration
	// Load was reported at LoadAt.
	Load   Load
	LoadAt time.Duration
	// Latency is the smoothed latency as of LatencyAt; 0 means unknown.
	Latency   time.Duration
	LatencyAt time.Duration
	// Health decides whether the server may be chosen.
	Health Health
	// SlowStartSince is when slow start began; SlowStart is its length.
	SlowStartSince time.Duration
	SlowStart      time.Duration
}

const (
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 200 * time.Millisecond
	// latencyHalfLife is the time after which the latency of a server that has
	// not answered counts half, so that a server that was slow is tried again.
	latencyHalfLife = 500 * time.Millisecond
	// latencyFloor is the smallest latency in a cost, so that load counts also
	// when nothing is known of the latency.
	latencyFloor = 200 * time.Microsecond
	// maxFailureDoublings bounds the effect of failures on the cost.
	maxFailureDoublings = 6
	// riseWeight and fallWeight are the weights of a new sample above or below
	// the smoothed latency.
	riseWeight = 0.5
	fallWeight = 0.15
)

// Smooth adds a sample to an exponentially smoothed latency of the given age. The
// smoothed latency rises faster than it falls.
func Smooth(latency, age, sample time.Duration) time.Duration {
	if latency == 0 {
		return sample
	}
	latency = decayedLatency(latency, age)
	weight := fallWeight
	if sample > latency {
		weight = riseWeight
	}
	return latency + time.Duration(weight*float64(sample-latency))
}

func decayedLatency(latency, age time.Duration) time.Duration {
	return time.Duration(float64(latency) * decayFactor(age, latencyHalfLife))
}

// decayFactor returns the weight of a value of the given age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// cost estimates how long a request would take at the server. Every recent
// failure doubles it, since a server that fails quickly looks fast.
func (s Statistics) cost(now time.Duration) time.Duration {
	latency := max(decayedLatency(s.Latency, now-s.LatencyAt), s.Silence, latencyFloor)
	latency <<= min(s.Health.Failures, maxFailureDoublings)
	return s.slotWait(now) + time.Duration(float64(latency)*(1+s.pendingRequests(now)/float64(max(s.Slots, 1))))
}

// slotWait estimates the time until a slot is free.
func (s Statistics) slotWait(now time.Duration) time.Duration {
	return time.Duration(float64(s.Load.Wait) * decayFactor(now-s.LoadAt, loadHalfLife))
}

// pendingRequests estimates the number of requests at the server, those of other
// callers included.
func (s Statistics) pendingRequests(now time.Duration) float64 {
	reported := float64(s.Load.InFlight+s.Load.Queued) * decayFactor(now-s.LoadAt, loadHalfLife)
	return max(float64(s.Outstanding), reported)
}

// saturated reports whether the server's queue was full a moment ago.
func (s Statistics) saturated(now time.Duration) bool {
	return s.Queue > 0 && s.Load.Queued >= s.Queue && now-s.LoadAt < loadHalfLife
}

// minSlowStartShare is the share of requests with which slow start begins.
const minSlowStartShare = 0.1

// slowStartShare returns the share of its requests that a server in slow start
// takes.
func (s Statistics) slowStartShare(now time.Duration) float64 {
	age := now - s.SlowStartSince
	if age >= s.SlowStart {
		return 1
	}
	return max(minSlowStartShare, float64(age)/float64(s.SlowStart))
}

// Report is the outcome of one attempt at a server.
type Report struct {
	Outcome model.Outcome
	Reason  model.Reason
	// Reported is true if the gate responded; Load is valid then.
	Reported bool
	Load     Load
	// Silent is true if the server has sent no response since the attempt began.
	Silent bool
	// Latency is the time to the start of the response or until the attempt was
	// given up; 0 means that the time says nothing about the server.
	Latency time.Duration
}
