package exchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/kernel"
)

const (
	// transferMargin replaces the margin of a poll for the complete state.
	transferMargin = 5 * time.Second
	// otherAnswerDelay is the pause of a poller while another one reads a large
	// answer.
	otherAnswerDelay = 300 * time.Millisecond
	// minPollInterval is the least time between two answers.
	minPollInterval = 100 * time.Millisecond
	// failureDelay is the pause after a failure that left no other upstream.
	failureDelay = time.Second
)

// changePolicy bounds the pause before the next upstream is tried after some
// that failed in a row.
var changePolicy = backoff.Policy{Base: 50 * time.Millisecond, Max: time.Second}

// runPoller polls the upstream at one place of the current role until the context
// ends.
func (s *Service) runPoller(ctx context.Context, place int) {
	rng := s.random(fmt.Sprint("poller ", place))
	failures := 0
	for ctx.Err() == nil {
		role, changed := s.role.Watch()
		if role.upstreams[place].address == "" {
			_ = kernel.Await(ctx, changed)
			continue
		}
		roleCtx, cancel := context.WithCancel(ctx)
		s.tasks.Go(func() {
			defer cancel()
			_ = s.role.AwaitWhile(roleCtx, role.sameAt(place))
		})
		answered := s.follow(roleCtx, role, place)
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
func (s *Service) follow(ctx context.Context, r role, place int) (answered bool) {
	upstream := r.upstreams[place]
	ask := question{round: r.round, place: place, configurationOnly: s.config.Direct}
	for ctx.Err() == nil {
		ask.bootstrap = !s.hasConfiguration()
		err := s.poll(ctx, upstream, ask)
		switch {
		case ctx.Err() != nil:
			return answered
		case errors.Is(err, errOtherAnswer):
			_ = clock.Wait(ctx, s.clock, otherAnswerDelay)
		case err != nil:
			s.reportFailure(ctx, upstream, err)
		default:
			answered = true
			ask.wait = s.config.PollTimes.Wait
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
