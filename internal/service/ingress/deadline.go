package ingress

import (
	"sync/atomic"
	"time"

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

// usefulUntil returns the time until which an answer is of full use to the
// caller. A caller that comes again waits less long than it did at first, so the
// longest wait that was seen on the route tells how old its request is.
func (s *Service) usefulUntil(caller frontend.CallerRequest, rt *model.Route, now, deadline time.Time) time.Time {
	if rt.Objective <= 0 {
		return deadline
	}
	age := time.Duration(0)
	if caller.Timeout > 0 {
		longest := s.longestWait(rt, caller.Timeout)
		if longest <= rt.Deadline {
			return deadline // callers have no time to come again, so late answers serve them too
		}
		age = max(longest-caller.Timeout, 0)
	}
	useful := now.Add(rt.Objective - age)
	if useful.After(deadline) {
		return deadline
	}
	return useful
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
