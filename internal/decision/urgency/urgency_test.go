package urgency_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/urgency"
)

const ms = time.Millisecond

// TestEstimate checks that the objective counts from the first attempt of a caller, and
// that a request is a final attempt only if its caller has no time for a retry.
func TestEstimate(t *testing.T) {
	tests := map[string]struct {
		caller urgency.Caller
		left   time.Duration
		want   urgency.Urgency
	}{
		"no objective": {
			urgency.Caller{Timeout: 2500 * ms, LongestTimeout: 2500 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{SoftTimeout: 1200 * ms},
		},
		"first attempt": {
			urgency.Caller{Objective: 400 * ms, Timeout: 2500 * ms, LongestTimeout: 2500 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{SoftTimeout: 400 * ms},
		},
		"retry": {
			urgency.Caller{Objective: 400 * ms, Timeout: 2000 * ms, LongestTimeout: 2500 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{SoftTimeout: -100 * ms},
		},
		"call made by a running request": {
			urgency.Caller{Objective: 150 * ms, Timeout: 310 * ms, LongestTimeout: 400 * ms, RetryAfter: 400 * ms},
			310 * ms,
			urgency.Urgency{SoftTimeout: 310 * ms, FinalAttempt: true},
		},
		// All callers use the same timeout, which is long enough for a retry.
		"upload": {
			urgency.Caller{Objective: 500 * ms, Timeout: 3000 * ms, LongestTimeout: 3000 * ms, RetryAfter: 400 * ms},
			3000 * ms,
			urgency.Urgency{SoftTimeout: 500 * ms},
		},
		"unknown caller timeout": {
			urgency.Caller{Objective: 400 * ms, RetryAfter: 400 * ms},
			1200 * ms,
			urgency.Urgency{SoftTimeout: 400 * ms},
		},
	}
	for name, test := range tests {
		if got := urgency.Estimate(test.caller, test.left); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
