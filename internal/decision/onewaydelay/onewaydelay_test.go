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

// TestDelaysEndAfterASuspension guards against a sender whose messages all count as delayed
// from then on, because its machine was suspended and its clock stood still.
func TestDelaysEndAfterASuspension(t *testing.T) {
	const suspended = 30 * time.Second
	var e onewaydelay.Estimator
	late := time.Duration(0)
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		sent := at
		if at > time.Minute {
			sent -= suspended
		}
		if e.Observe(1, sent, at) > 0 {
			late = at
		}
	}
	if late < time.Minute || late > 3*time.Minute+time.Second {
		t.Errorf("the last delayed message came after %s, the suspension ended after 1m", late)
	}
}

// TestDelayIsMeasuredBeyondAWindow guards against a queue of a link that is taken for the
// usual time on the way.
func TestDelayIsMeasuredBeyondAWindow(t *testing.T) {
	var e onewaydelay.Estimator
	e.Observe(1, 50*time.Second, 50*time.Second)
	for at := 51 * time.Second; at < 165*time.Second; at += 500 * time.Millisecond {
		if got := e.Observe(1, at-2*time.Second, at); got != 2*time.Second {
			t.Fatalf("delay %s at %s, want 2s", got, at)
		}
	}
}
