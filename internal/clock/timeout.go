package clock

import (
	"context"
	"time"
)

// WithTimeout returns a context that is cancelled once d has passed on clk. The
// cause is then context.DeadlineExceeded. The caller must call the returned
// function to release the timer.
func WithTimeout(ctx context.Context, clk Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clk.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
