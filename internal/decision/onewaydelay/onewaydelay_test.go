package onewaydelay_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/onewaydelay"
)

// TestDelayIsCountedFromTheFastestMessageOfASender guards against delays that depend on
// when the two processes were started or on the messages of other senders.
func TestDelayIsCountedFromTheFastestMessageOfASender(t *testing.T) {
	var e onewaydelay.Estimator
	const ms = time.Millisecond
	for i, m := range []struct {
		sender              uint64
		sent, arrived, want time.Duration
	}{
		{1, 100 * ms, 5000 * ms, 0},
		{1, 200 * ms, 5100 * ms, 0},
		{1, 300 * ms, 6200 * ms, 1000 * ms},
		{2, 300 * ms, 10 * ms, 0},        // started later than this process
		{1, 400 * ms, 5296 * ms, 0},      // faster than all earlier ones
		{1, 500 * ms, 5400 * ms, 4 * ms}, // as fast as the first two
		{2, 1300 * ms, 1710 * ms, 700 * ms},
		{0, 0, time.Hour, 0},
	} {
		if got := e.Observe(m.sender, m.sent, m.arrived); got != m.want {
			t.Errorf("message %d: delayed by %s, want %s", i, got, m.want)
		}
	}
}

// TestDelaysAreMeasuredBeyondMaxSenders checks that a new sender is still measured
// after more senders than are remembered.
func TestDelaysAreMeasuredBeyondMaxSenders(t *testing.T) {
	var e onewaydelay.Estimator
	for sender := uint64(1); sender < 20_000; sender++ {
		e.Observe(sender, 0, time.Second)
	}
	if got := e.Observe(19_999, 0, 3*time.Second); got != 2*time.Second {
		t.Errorf("delay of the second message of the newest sender: %s, want 2s", got)
	}
}
