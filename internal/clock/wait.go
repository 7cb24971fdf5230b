package clock

import (
	"context"
	"time"
)

// Wait blocks until d has passed or the context ends, and returns the
// context's error in the latter case.
func Wait(ctx context.Context, c Clock, d time.Duration) error {
	passed := make(chan struct{})
	timer := c.AfterFunc(d, func() { close(passed) })
	defer timer.Stop()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
