// Package backoff computes retry delays. It sets no timers and reads no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff with equal jitter: half of each delay is fixed
// and the other half is random.
type Policy struct {
	// Base is the maximum delay after the first failure.
	Base time.Duration
	// Max is the maximum delay after any number of failures.
	Max time.Duration
}

// Delay returns the delay after a number of consecutive failures, counted from 1.
// It is uniformly random between one half and the whole of a limit, which is Base
// doubled for each failure after the first, but at most Max.
func (p Policy) Delay(failures int, rng *rand.Rand) time.Duration {
	limit := p.Base
	for i := 1; i < failures && limit < p.Max; i++ {
		limit *= 2
	}
	limit = min(limit, p.Max)
	half := limit / 2
	return half + time.Duration(rng.Int64N(int64(limit-half)+1))
}
