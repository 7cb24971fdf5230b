package urgency_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/urgency"
)

const ms = time.Millisecond

func TestOf(t *testing.T) {
	tests := map[string]struct {
		caller urgency.Caller
		left   time.Duration
		want   urgency.Urgency
	}{
		"no objective": {
			urgency.Caller{Timeout: 2500 * ms, LongestTimeout: 2500 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{Useful: 1200 * ms},
		},
		"first attempt": {
			urgency.Caller{Objective: 400 * ms, Timeout: 2500 * ms, LongestTimeout: 2500 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{Useful: 400 * ms},
		},
		"a caller that comes again": {
			urgency.Caller{Objective: 400 * ms, Timeout: 2000 * ms, LongestTimeout: 2500 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{Useful: -100 * ms},
		},
		"a call of running work": {
			urgency.Caller{Objective: 150 * ms, Timeout: 310 * ms, LongestTimeout: 400 * ms, RetryAfter: 400 * ms},
			310 * ms,
			urgency.Urgency{Useful: 310 * ms, LastChance: true},
		},
		// The route allows as much time as its callers wait, but they can come
		// again within it.
		"an upload": {
			urgency.Caller{Objective: 500 * ms, Timeout: 3000 * ms, LongestTimeout: 3000 * ms, RetryAfter: 400 * ms},
			3000 * ms,
			urgency.Urgency{Useful: 500 * ms},
		},
		"a caller that does not say how long it waits": {
			urgency.Caller{Objective: 400 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{Useful: 400 * ms},
		},
	}
	for name, test := range tests {
		if got := urgency.Of(test.caller, test.left); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
