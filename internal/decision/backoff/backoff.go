// Package backoff computes retry delays. It is pure: no timers, no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff with full jitter over its upper half.
type Policy struct {
	// Base is the longest delay after the first failure.
	Base time.Duration
	// Max bounds the delay after many failures.
	Max time.Duration
}

// Delay returns the delay after the given number of failures in a row, which
// counts from 1: a random time between a half and the whole of Base doubled
// for each failure before.
func (p Policy) Delay(failures int, rng *rand.Rand) time.Duration {
	limit := p.Base
	for i := 1; i < failures && limit < p.Max; i++ {
		limit *= 2
	}
	limit = min(limit, p.Max)
	half := limit / 2
	return half + time.Duration(rng.Int64N(int64(limit-half)+1))
}
