package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
)

// TestPatienceLastsWhileThereIsProgress checks that a call ends after the first time
// without any progress, and after a pause since the last one else.
func TestPatienceLastsWhileThereIsProgress(t *testing.T) {
	fake := clock.NewFake(time.Unix(0, 0))
	const first, pause = 5 * time.Second, 2 * time.Second
	silent, _, cancel := clock.WithIdleTimeout(t.Context(), fake, first, pause)
	defer cancel()
	slow, progress, cancel := clock.WithIdleTimeout(t.Context(), fake, first, pause)
	defer cancel()
	for range 6 {
		fake.Advance(time.Second)
		progress()
	}
	if context.Cause(silent) != context.DeadlineExceeded {
		t.Errorf("without progress: %v", context.Cause(silent))
	}
	if slow.Err() != nil {
		t.Errorf("with progress: %v", context.Cause(slow))
	}
	fake.Advance(pause)
	if context.Cause(slow) != context.DeadlineExceeded {
		t.Errorf("after a pause: %v", context.Cause(slow))
	}
	progress() // too late
	if slow.Err() == nil {
		t.Error("progress brought an ended call back")
	}
}
