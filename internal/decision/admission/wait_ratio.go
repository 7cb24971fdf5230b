package admission

import (
	"math"
	"time"
)

const (
	// trackedPriorities is the number of priorities with a wait ratio of their own;
	// less urgent ones share the last.
	trackedPriorities = 4
	// waitRatioDivisor is the inverse of the weight of a new sample in a wait ratio.
	waitRatioDivisor = 16
	// waitRatioHalfLife is the time in which a wait ratio without new samples decays
	// half the way to 1.
	waitRatioHalfLife = time.Second
	// maxWaitRatio bounds a wait ratio, so that a few long waits do not make the
	// gate refuse everything.
	maxWaitRatio = 4
)

// waitRatio is the ratio of the actual to the predicted waits of requests of one
// priority. Actual waits are longer mostly because more urgent requests arrive
// later and are served first.
type waitRatio struct {
	predicted, actual float64 // exponentially weighted averages in ns
	updated           time.Time
}

func (w *waitRatio) add(predicted, actual time.Duration, now time.Time) {
	w.predicted += (float64(predicted) - w.predicted) / waitRatioDivisor
	w.actual += (float64(actual) - w.actual) / waitRatioDivisor
	w.updated = now
}

// factor returns the factor that corrects a predicted wait, from 1 to
// maxWaitRatio.
func (w *waitRatio) factor(now time.Time) float64 {
	if w.predicted <= 0 {
		return 1
	}
	ratio := min(max(w.actual/w.predicted, 1), maxWaitRatio)
	decay := math.Exp2(-float64(now.Sub(w.updated)) / float64(waitRatioHalfLife))
	return 1 + (ratio-1)*decay
}

func (s *State) waitRatio(r Request) *waitRatio {
	return &s.waitRatios[min(max(r.Priority, 0), trackedPriorities-1)]
}

// recordWait records the predicted and the actual wait of a request that leaves
// the queue.
func (s *State) recordWait(r Request, now time.Time) {
	s.waitRatio(r).add(r.predictedDelay, now.Sub(r.queuedAt), now)
}
