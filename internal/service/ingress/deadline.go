package ingress

import (
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
