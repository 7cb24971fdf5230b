// Package balance decides to which server of a service a request is sent. It applies
// the power of two choices: of two random candidates it chooses the one of lower
// estimated cost. Servers of the caller's failure domain are preferred, new servers get
// a slow start and failing ones are ejected. The package is pure: random numbers and
// the time, as a duration since any fixed instant, are arguments.
package balance

import (
	"math"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Load is what a server last reported with a response.
type Load struct {
	// InFlight counts the requests that occupy a slot, Queued those that wait for one.
	InFlight, Queued int
	// Wait is how long another request like that of the response would wait for a
	// slot.
	Wait time.Duration
}

// Statistics holds what a caller's node has observed of one server.
type Statistics struct {
	// Local is true for a server of the caller's failure domain.
	Local bool
	// Excluded is true for a server that this request must not use again.
	Excluded bool
	// Slots is the number of requests that the server runs at a time, and Queue the
	// largest number of those that wait. With a Queue of 0 the server never counts as
	// saturated.
	Slots, Queue int
	// Outstanding counts this node's own requests at the server.
	Outstanding int
	// Silence is the time for which requests have been outstanding without any of
	// them ending; 0 if none is outstanding.
	Silence time.Duration
	// Load was reported at LoadAt.
	Load   Load
	LoadAt time.Duration
	// Latency is the smoothed latency as of LatencyAt; 0 means unknown.
	Latency   time.Duration
	LatencyAt time.Duration
	// Health decides whether the server may be chosen.
	Health Health
	// SlowStartSince is when slow start began; SlowStart is its length, 0 for none.
	SlowStartSince time.Duration
	SlowStart      time.Duration
	// ColdRatePerSlot is the number of requests per second that the server accepts while
	// it is cold, divided by its slots; 0 means that it is warm.
	ColdRatePerSlot float64
}

const (
	// loadHalfLife is the age at which a reported load has half of its weight.
	loadHalfLife = 200 * time.Millisecond
	// latencyHalfLife is the time after which the latency of a server without a new
	// sample has half of its weight, so that a server that was slow is tried again.
	latencyHalfLife = 500 * time.Millisecond
	// latencyFloor is the smallest latency in a cost, so that the cost depends on the
	// load even if the latency is unknown.
	latencyFloor = 200 * time.Microsecond
	// maxFailureDoublings bounds how often failures double the latency in a cost.
	maxFailureDoublings = 6
	// riseWeight and fallWeight are the weights of a new sample above or below
	// the smoothed latency.
	riseWeight = 0.5
	fallWeight = 0.15
)

// Smooth adds a sample to an exponentially smoothed latency of the given age; a latency
// of 0 means that there is none yet. The smoothed latency rises faster than it falls.
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

// decayFactor returns the weight, in (0, 1], of a value of the given age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Cost is an estimate of how long a request would take at a server:
// SlotWait + Latency x (1 + Pending / slots).
type Cost struct {
	// SlotWait is the estimated time until a slot is free.
	SlotWait time.Duration
	// Latency is the largest of the smoothed latency, the silence of the server and a
	// minimum. Every consecutive failure doubles it, since a server that fails quickly
	// appears fast.
	Latency time.Duration
	// Pending is the estimated number of requests at the server.
	Pending float64
	// Total is the whole estimate.
	Total time.Duration
}

// Cost returns the cost of a request at the server.
func (s Statistics) Cost(now time.Duration) Cost {
	c := Cost{SlotWait: s.slotWait(now), Pending: s.pendingRequests(now)}
	c.Latency = max(decayedLatency(s.Latency, now-s.LatencyAt), s.Silence, latencyFloor)
	c.Latency <<= min(s.Health.Failures, maxFailureDoublings)
	c.Total = c.SlotWait + time.Duration(float64(c.Latency)*(1+c.Pending/float64(max(s.Slots, 1))))
	return c
}

func (s Statistics) cost(now time.Duration) time.Duration { return s.Cost(now).Total }

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

// saturated reports whether the server's queue was full when it last reported its load,
// less than loadHalfLife ago.
func (s Statistics) saturated(now time.Duration) bool {
	return s.Queue > 0 && s.Load.Queued >= s.Queue && now-s.LoadAt < loadHalfLife
}

// minSlowStartShare is the slowStartShare with which slow start begins.
const minSlowStartShare = 0.1

// slowStartShare returns the fraction of its usual requests that a server gets: it rises
// during slow start and is 1 afterwards.
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
	// Kind groups requests with similar service times, such as those of one route; empty
	// means that it is unknown.
	Kind string
	// Hop is how long the attempt took if the gate refused it at once; 0 if it did not.
	Hop time.Duration
	// Latency is the time until the response began, without the wait for a slot, or
	// until the attempt ended without a response; 0 means that the time shows nothing
	// about the server's speed.
	Latency time.Duration
}
