package admission

import (
	"math"
	"time"
)

const (
	// rankedPriorities is the number of priorities whose waits are compared with
	// what was predicted; less urgent ones count as the last of them.
	rankedPriorities = 4
	// stretchWeight is the share of a new wait in a stretch, as 1/stretchWeight.
	stretchWeight = 16
	// stretchHalfLife halves what a stretch differs from 1 while nothing waits.
	stretchHalfLife = time.Second
	// mostStretch bounds a stretch, so that a few bad waits do not close a gate.
	mostStretch = 4
)

// stretch is how much longer requests of one priority wait than the queue ahead
// of them tells, mostly since more urgent ones come after them and overtake.
type stretch struct {
	predicted, actual float64 // weighted sums in ns
	at                time.Time
}

// add takes in a wait that has ended.
func (s *stretch) add(predicted, actual time.Duration, now time.Time) {
	s.predicted += (float64(predicted) - s.predicted) / stretchWeight
	s.actual += (float64(actual) - s.actual) / stretchWeight
	s.at = now
}

// factor returns what to multiply a predicted wait with.
func (s *stretch) factor(now time.Time) float64 {
	if s.predicted <= 0 {
		return 1
	}
	ratio := min(max(s.actual/s.predicted, 1), mostStretch)
	belief := math.Exp2(-float64(now.Sub(s.at)) / float64(stretchHalfLife))
	return 1 + (ratio-1)*belief
}

func (s *State) stretch(r Request) *stretch {
	return &s.stretches[min(max(r.Priority, 0), rankedPriorities-1)]
}

// noteWait compares the wait of a request that leaves the queue with what was
// predicted.
func (s *State) noteWait(r Request, now time.Time) {
	s.stretch(r).add(r.predicted, now.Sub(r.queuedAt), now)
}
