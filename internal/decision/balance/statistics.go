// Package balance decides which server of a service takes a request: two random
// candidates of which the cheaper one wins, servers of the caller's own failure
// domain first, with slow start and ejection. It is pure; random numbers and
// the time, counted from any fixed start, are arguments.
package balance

import (
	"math"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Load is what a server last reported with an answer.
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
	// answer.
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
	// loadHalfLife is the age at which half of a reported load is believed.
	loadHalfLife = 200 * time.Millisecond
	// latencyHalfLife halves the latency of a server that has not answered for
	// that long, so that a server that was slow is tried again.
	latencyHalfLife = 500 * time.Millisecond
	// latencyFloor is the smallest latency in a cost, so that load counts also
	// when nothing is known of the latency.
	latencyFloor = 200 * time.Microsecond
	// maxDoublings bounds the effect of failures on the cost.
	maxDoublings = 6
	// riseWeight and fallWeight are the shares of a new sample above or below
	// the smoothed latency.
	riseWeight = 0.5
	fallWeight = 0.15
)

// Smooth adds a sample to a smoothed latency of the given age. It rises faster
// than it falls.
func Smooth(latency, age, sample time.Duration) time.Duration {
	if latency == 0 {
		return sample
	}
	latency = decayed(latency, age)
	weight := fallWeight
	if sample > latency {
		weight = riseWeight
	}
	return latency + time.Duration(weight*float64(sample-latency))
}

func decayed(latency, age time.Duration) time.Duration {
	return time.Duration(float64(latency) * decay(age, latencyHalfLife))
}

// decay returns the factor by which a value of the given age is believed.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// cost estimates how long a request would take at the server. Every recent
// failure doubles it, since a server that fails quickly looks fast.
func (s Statistics) cost(now time.Duration) time.Duration {
	latency := max(decayed(s.Latency, now-s.LatencyAt), s.Silence, latencyFloor)
	latency <<= min(s.Health.Failures, maxDoublings)
	return s.wait(now) + time.Duration(float64(latency)*(1+s.waiting(now)/float64(max(s.Slots, 1))))
}

// wait estimates the time until a slot is free.
func (s Statistics) wait(now time.Duration) time.Duration {
	return time.Duration(float64(s.Load.Wait) * decay(now-s.LoadAt, loadHalfLife))
}

// waiting estimates the requests at the server, those of others included.
func (s Statistics) waiting(now time.Duration) float64 {
	reported := float64(s.Load.InFlight+s.Load.Queued) * decay(now-s.LoadAt, loadHalfLife)
	return max(float64(s.Outstanding), reported)
}

// saturated reports whether the server's queue was full a moment ago.
func (s Statistics) saturated(now time.Duration) bool {
	return s.Queue > 0 && s.Load.Queued >= s.Queue && now-s.LoadAt < loadHalfLife
}

// minimumShare is the share of requests that slow start begins with.
const minimumShare = 0.1

// share returns the part of its requests that a server in slow start takes.
func (s Statistics) share(now time.Duration) float64 {
	age := now - s.SlowStartSince
	if age >= s.SlowStart {
		return 1
	}
	return max(minimumShare, float64(age)/float64(s.SlowStart))
}

// Report is the outcome of one attempt at a server.
type Report struct {
	Outcome model.Outcome
	Reason  model.Reason
	// Reported is true if the gate answered; Load is valid then.
	Reported bool
	Load     Load
	// Silent is true if the server has answered nothing since the attempt began.
	Silent bool
	// Latency is the time to the start of the answer or until the attempt was
	// given up; 0 means that it says nothing about the server.
	Latency time.Duration
}
