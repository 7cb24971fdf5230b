package ingress

import (
	"sync/atomic"
	"time"

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

// urgency returns the urgency of a request that arrived at now and whose response must
// have arrived by the deadline.
func (s *Service) urgency(caller frontend.CallerRequest, rt *model.Route, now, deadline time.Time) urgency.Urgency {
	longest := caller.Timeout
	if rt.Objective > 0 && caller.Timeout > 0 {
		longest = s.longestTimeout(rt, caller.Timeout)
	}
	return urgency.Estimate(urgency.Caller{
		Objective: rt.Objective, Timeout: caller.Timeout, LongestTimeout: longest, RetryAfter: minRetryAfter,
	}, deadline.Sub(now))
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
