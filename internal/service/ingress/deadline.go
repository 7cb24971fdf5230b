package ingress

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/drain"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/decision/urgency"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
)

// defaultDeadline applies to a route that sets none.
const defaultDeadline = 30 * time.Second

// deadlineOf returns the time by which the whole response must have arrived: the route's
// deadline or the caller's timeout from now, whichever is shorter.
func deadlineOf(caller frontend.CallerRequest, rt *model.Route, now time.Time) time.Time {
	timeout := rt.Deadline
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if caller.Timeout > 0 {
		timeout = min(timeout, caller.Timeout)
	}
	return now.Add(timeout)
}

// checkTimeLeft refuses a request that would outlast a node that leaves. The end of a
// body that is streamed cannot be foreseen, so only the deadline of its request counts.
// The request may run at any server of the destinations.
func (s *Service) checkTimeLeft(rt *model.Route, deadline time.Time, streamed bool, destinations ...*route.Destination) *refusal {
	plan := s.drainPlan.Load()
	if plan == nil {
		return nil
	}
	now, estimate := s.clock.Now(), drain.Estimate{}
	if !streamed {
		estimate.Longest = s.longestServed.value(rt, now.Sub(s.start))
		estimate.Cold = s.balancer != nil && slices.ContainsFunc(destinations, s.balancer.AnyCold)
	}
	if plan.Accepts(now, deadline, estimate) {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, model.ReasonLeaving)
}

// limitToDrain returns the deadline, or the end of the drain if that is earlier.
func (s *Service) limitToDrain(deadline time.Time) time.Time {
	if plan := s.drainPlan.Load(); plan != nil {
		return plan.Limit(deadline)
	}
	return deadline
}

// longestServed holds the longest recent time in which a request was answered, by route.
// It is safe for concurrent use.
type longestServed struct {
	mu      sync.Mutex
	byRoute map[routeKey]*drain.Longest
}

// observe adds the time that an answered request took; now is the time since the start.
func (l *longestServed) observe(rt *model.Route, took, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := routeKey{team: rt.Team, name: rt.Name}
	longest, ok := l.byRoute[key]
	if !ok {
		if l.byRoute == nil {
			l.byRoute = make(map[routeKey]*drain.Longest)
		}
		longest = new(drain.Longest)
		l.byRoute[key] = longest
	}
	longest.Observe(took, now)
}

// value returns the longest recent time on a route, or 0 if it is unknown.
func (l *longestServed) value(rt *model.Route, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest, ok := l.byRoute[routeKey{team: rt.Team, name: rt.Name}]
	if !ok {
		return 0
	}
	unchanged := *longest
	return unchanged.Value(now)
}

// withDeadline returns a context that is cancelled after d with the cause
// call.ErrDeadline, or when the node ends with the cause call.ErrNodeStopping.
func (s *Service) withDeadline(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := s.clock.AfterFunc(d, func() { cancel(call.ErrDeadline) })
	stop := context.AfterFunc(s.ended, func() { cancel(call.ErrNodeStopping) })
	return ctx, func() {
		timer.Stop()
		stop()
		cancel(nil)
	}
}

// urgency returns the urgency of a request that arrived at now and whose response must
// have arrived by the deadline.
func (s *Service) urgency(caller frontend.CallerRequest, rt *model.Route, now, deadline time.Time) urgency.Urgency {
	longest := caller.Timeout
	if rt.Objective > 0 && caller.Timeout > 0 {
		longest = s.longestTimeout(rt, caller.Timeout)
	}
	return estimateUrgency(caller, rt, longest, deadline.Sub(now))
}

// knownLongestTimeout returns the longest timeout that callers of a route have set so far.
func (s *Service) knownLongestTimeout(rt *model.Route) time.Duration {
	found, ok := s.longestTimeouts.Load(routeKey{team: rt.Team, name: rt.Name})
	if !ok {
		return 0
	}
	return time.Duration(found.(*atomic.Int64).Load())
}

// longestTimeout returns the longest timeout that callers of a route have set, the
// given one included.
func (s *Service) longestTimeout(rt *model.Route, timeout time.Duration) time.Duration {
	key := routeKey{team: rt.Team, name: rt.Name}
	found, ok := s.longestTimeouts.Load(key)
	if !ok {
		found, _ = s.longestTimeouts.LoadOrStore(key, new(atomic.Int64))
	}
	longest := found.(*atomic.Int64)
	for {
		old := longest.Load()
		if int64(timeout) <= old {
			return time.Duration(old)
		}
		if longest.CompareAndSwap(old, int64(timeout)) {
			return timeout
		}
	}
}
