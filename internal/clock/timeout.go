package clock

import (
	"context"
	"sync"
	"time"
)

// WithTimeout returns a context that is cancelled once d has passed on clk. Its Err is
// then context.Canceled and its cause context.DeadlineExceeded. The caller must call
// the returned function to release the timer.
func WithTimeout(ctx context.Context, clk Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if d <= 0 { // as in package context; a fake clock runs no timer before it is advanced
		cancel(context.DeadlineExceeded)
		return ctx, func() {}
	}
	timer := clk.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// WithIdleTimeout returns a context that is cancelled when initial passes without a
// call of progress, or later when idle passes since the last call. Its Err is then
// context.Canceled and its cause context.DeadlineExceeded. Any goroutine may call
// progress and cancel; the caller must call cancel to release the timer.
func WithIdleTimeout(
	ctx context.Context, clk Clock, initial, idle time.Duration,
) (limited context.Context, progress func(), cancel context.CancelFunc) {
	limited, cancelCause := context.WithCancelCause(ctx)
	var mu sync.Mutex
	expire := func() { cancelCause(context.DeadlineExceeded) }
	timer := clk.AfterFunc(initial, expire)
	progress = func() {
		mu.Lock()
		defer mu.Unlock()
		if timer.Stop() {
			timer = clk.AfterFunc(idle, expire)
		}
	}
	return limited, progress, func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
		cancelCause(context.Canceled)
	}
}
