package clock

import (
	"context"
	"sync"
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

// WithIdleTimeout returns a context that ends after a time, with
// context.DeadlineExceeded, unless progress is called. Each call of it grants the
// time pause from then on. Both functions may be called by any goroutine; cancel
// must be called in the end.
func WithIdleTimeout(
	ctx context.Context, clk Clock, first, pause time.Duration,
) (patient context.Context, progress func(), cancel context.CancelFunc) {
	patient, end := context.WithCancelCause(ctx)
	var mu sync.Mutex
	over := func() { end(context.DeadlineExceeded) }
	timer := clk.AfterFunc(first, over)
	progress = func() {
		mu.Lock()
		defer mu.Unlock()
		if timer.Stop() {
			timer = clk.AfterFunc(pause, over)
		}
	}
	return patient, progress, func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
		end(context.Canceled)
	}
}
