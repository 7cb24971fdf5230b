package ingress

import (
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/decision/urgency"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
)

// defaultDeadline holds for a route that sets none.
const defaultDeadline = 30 * time.Second

// deadlineOf returns the end of the time for the whole answer.
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

// urgency returns how urgent a request is that came at a time and must be
// answered by the deadline.
func (s *Service) urgency(caller frontend.CallerRequest, rt *model.Route, now, deadline time.Time) urgency.Urgency {
	longest := caller.Timeout
	if rt.Objective > 0 && caller.Timeout > 0 {
		longest = s.longestWait(rt, caller.Timeout)
	}
	return urgency.Of(urgency.Caller{
		Objective: rt.Objective, Timeout: caller.Timeout, LongestTimeout: longest, RetryAfter: minRetryAfter,
	}, deadline.Sub(now))
}

// longestWait returns the longest time that callers of a route have said to
// wait, the given one included.
func (s *Service) longestWait(rt *model.Route, wait time.Duration) time.Duration {
	key := routeKey{team: rt.Team, name: rt.Name}
	found, ok := s.longestWaits.Load(key)
	if !ok {
		found, _ = s.longestWaits.LoadOrStore(key, new(atomic.Int64))
	}
	longest := found.(*atomic.Int64)
	for {
		old := longest.Load()
		if int64(wait) <= old {
			return time.Duration(old)
		}
		if longest.CompareAndSwap(old, int64(wait)) {
			return wait
		}
	}
}
