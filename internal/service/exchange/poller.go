package exchange

import (
	"context"
	"errors"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/kernel"
)

const (
	// pollWait is how long an upstream holds an answer back when there is
	// nothing new. It bounds how late a silent upstream is noticed.
	pollWait = 4 * time.Second
	// pollMargin is the time beyond the wait after which a poll has failed.
	pollMargin = 1500 * time.Millisecond
	// transferMargin replaces pollMargin when the complete state is asked for.
	transferMargin = 5 * time.Second
	// minPollInterval is the least time between two answers.
	minPollInterval = 100 * time.Millisecond
	// failureDelay is the pause after a failure that left no other upstream.
	failureDelay = time.Second
)

// changePolicy bounds the pause before the next upstream is tried after some
// that failed in a row.
var changePolicy = backoff.Policy{Base: 50 * time.Millisecond, Max: time.Second}

// runPoller polls the upstream of the current role until the context ends.
func (s *Service) runPoller(ctx context.Context) {
	rng := s.random("poller")
	failures := 0
	for ctx.Err() == nil {
		role, changed := s.role.Watch()
		if role.upstream.address == "" {
			_ = kernel.Await(ctx, changed)
			continue
		}
		roleCtx, cancel := context.WithCancel(ctx)
		s.tasks.Go(func() {
			defer cancel()
			_ = kernel.Await(roleCtx, changed)
		})
		answered := s.follow(roleCtx, role)
		cancel()
		if answered {
			failures = 0
			continue
		}
		failures++
		_ = clock.Wait(ctx, s.clock, changePolicy.Delay(failures, rng))
	}
}

// follow polls one upstream until the role changes, and reports whether the
// upstream has answered. The first poll is answered at once, so that the node
// knows soon that it is up to date.
func (s *Service) follow(ctx context.Context, r role) (answered bool) {
	ask := question{round: r.round}
	for ctx.Err() == nil {
		ask.bootstrap = !s.hasConfiguration()
		err := s.poll(ctx, r.upstream, ask)
		switch {
		case ctx.Err() != nil:
			return answered
		case err != nil:
			s.reportFailure(ctx, r.upstream, err)
		default:
			answered = true
			ask.wait = pollWait
			_ = clock.Wait(ctx, s.clock, minPollInterval)
		}
	}
	return answered
}

// reportFailure lets the control loop choose another upstream, and waits if
// there is none.
func (s *Service) reportFailure(ctx context.Context, p peer, err error) {
	failed := pollFailed{peer: p, err: err, handled: make(chan struct{})}
	delay := failureDelay
	var refused *refusedError
	if errors.As(err, &refused) {
		failed.retryAfter = refused.retryAfter
		delay = refused.retryAfter
	}
	if s.loop.PostAndWait(ctx, failed.handled, failed) == nil {
		_ = clock.Wait(ctx, s.clock, delay)
	}
}
