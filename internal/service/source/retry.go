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

// retrier delays a goroutine after failures in a row.
type retrier struct {
	// purpose names what the goroutine reads.
	purpose  string
	service  *Service
	rng      *rand.Rand
	failures int
}

// succeeded ends a row of failures.
func (r *retrier) succeeded() {
	if r.failures > 0 {
		r.service.timeline.Record(timeline.KindSourceRegained, fmt.Sprintf("%s, after %d failures", r.purpose, r.failures))
	}
	r.failures = 0
}

// failed waits before the next attempt, at least as long as the platform asked
// for. The first failure of a row is recorded.
func (r *retrier) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.failures++
	if r.failures == 1 {
		r.service.timeline.Record(timeline.KindSourceFailed, r.purpose+": "+err.Error())
	}
	_ = clock.Wait(ctx, r.service.clock, r.service.config.Pacing.delay(r.failures, err, r.rng))
}

// delay returns the time before the next call after a number of failures in a
// row, the last with the given error.
func (p Pacing) delay(failures int, err error, rng *rand.Rand) time.Duration {
	delay := p.Retry.Delay(failures, rng)
	var busy *BusyError
	if errors.As(err, &busy) {
		delay += min(busy.RetryAfter, p.MaxRetryAfter)
	}
	return delay
}
