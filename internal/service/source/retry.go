package source

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/timeline"
)

// retrier delays a goroutine after consecutive failures.
type retrier struct {
	// purpose names what the goroutine reads.
	purpose  string
	service  *Service
	rng      *rand.Rand
	failures int
}

// succeeded resets the failure count and records a recovery in the timeline.
func (r *retrier) succeeded() {
	if r.failures > 0 {
		r.service.timeline.Record(timeline.KindSourceRegained, fmt.Sprintf("%s, after %d failures", r.purpose, r.failures))
	}
	r.failures = 0
}

// failed waits before the next attempt, by at least the delay that the platform
// requested, up to Pacing.MaxRetryAfter. It records the first of consecutive
// failures in the timeline. It does nothing if the context has ended.
func (r *retrier) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.failures++
	if r.failures == 1 {
		r.service.timeline.Record(timeline.KindSourceFailed, r.purpose+": "+err.Error())
	}
	_ = clock.Wait(ctx, r.service.clock, r.service.config.Pacing.delay(r.failures, r.service.interim.Load(), err, r.rng))
}

// delay returns the time to wait before the next call after consecutive failures,
// of which err is the last. interim is control.ReadScopeChanged.Interim.
func (p Pacing) delay(failures int, interim bool, err error, rng *rand.Rand) time.Duration {
	policy := p.Retry
	if interim {
		policy = p.InterimRetry
	}
	delay := policy.Delay(failures, rng)
	var busy *BusyError
	if errors.As(err, &busy) {
		delay += min(busy.RetryAfter, p.MaxRetryAfter)
	}
	return delay
}
