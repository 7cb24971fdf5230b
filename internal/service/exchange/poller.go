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
	// transferMargin replaces PollTimes.Margin in a poll for the complete
	// configuration.
	transferMargin = 5 * time.Second
	// largeResponseDelay is the delay before the next poll after one was aborted because
	// another poller reads a large response.
	largeResponseDelay = 300 * time.Millisecond
	// minPollInterval is the minimum time between a response and the next poll.
	minPollInterval = 100 * time.Millisecond
	// failureDelay is the delay after a failed poll if there is no other upstream.
	failureDelay = time.Second
)

// upstreamRetryPolicy is the backoff before the next upstream is polled after consecutive
// ones that did not respond.
var upstreamRetryPolicy = backoff.Policy{Base: 50 * time.Millisecond, Max: time.Second}

// runPoller polls the upstream at one index of the current role until the context
// ends. A change of the upstream or of the generation aborts the poll in progress.
func (s *Service) runPoller(ctx context.Context, index int) {
	rng := s.random(fmt.Sprint("poller ", index))
	failures := 0
	for ctx.Err() == nil {
		role, changed := s.role.Watch()
		if role.upstreams[index].address == "" {
			_ = kernel.Await(ctx, changed)
			continue
		}
		roleCtx, cancel := context.WithCancel(ctx)
		s.tasks.Go(func() {
			defer cancel()
			_ = s.role.AwaitWhile(roleCtx, role.sameUpstream(index))
		})
		responded := s.pollUpstream(roleCtx, role, index)
		cancel()
		if responded {
			failures = 0
			continue
		}
		failures++
		_ = clock.Wait(ctx, s.clock, upstreamRetryPolicy.Delay(failures, rng))
	}
}

// pollUpstream polls one upstream until the context ends, which happens when the
// upstream changes, and reports whether the upstream has responded. The first poll
// does not wait for changes, so that the node learns at once whether it is up to
// date.
func (s *Service) pollUpstream(ctx context.Context, r role, index int) (responded bool) {
	upstream := r.upstreams[index]
	options := pollOptions{generation: r.generation, upstreamIndex: index}
	for ctx.Err() == nil {
		options.bootstrap = !s.hasConfiguration()
		if s.config.Direct && options.bootstrap {
			options.wait = s.config.PollTimes.Wait // the peer may be starting, too
		}
		contact, err := s.poll(ctx, upstream, options)
		switch {
		case ctx.Err() != nil:
			return responded
		case errors.Is(err, errLargeResponseInProgress):
			_ = clock.Wait(ctx, s.clock, largeResponseDelay)
		case err != nil:
			s.reportFailure(ctx, upstream, err)
		default:
			responded, options.knownContact = true, contact
			options.wait = s.config.PollTimes.Wait
			_ = clock.Wait(ctx, s.clock, minPollInterval)
		}
	}
	return responded
}

// reportFailure lets the control loop choose another upstream, which ends the
// context. If there is no other, it waits before the next poll.
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
