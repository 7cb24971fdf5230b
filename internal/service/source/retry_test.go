package source

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/backoff"
)

// TestDelayAfterFailures checks that Retry-After lengthens the delay, but by no more
// than MaxRetryAfter, so that the node does not become outdated.
func TestDelayAfterFailures(t *testing.T) {
	pacing := Pacing{
		Retry:         backoff.Policy{Base: 100 * time.Millisecond, Max: 400 * time.Millisecond},
		InterimRetry:  backoff.Policy{Base: time.Second, Max: time.Second},
		MaxRetryAfter: time.Second,
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for name, test := range map[string]struct {
		err         error
		least, most time.Duration
	}{
		"a failure":           {eris.New("reset"), 0, 400 * time.Millisecond},
		"a short Retry-After": {&BusyError{RetryAfter: 300 * time.Millisecond}, 300 * time.Millisecond, 700 * time.Millisecond},
		"a long Retry-After":  {&BusyError{RetryAfter: 5 * time.Second}, time.Second, 1400 * time.Millisecond},
	} {
		for failures := 1; failures < 20; failures++ {
			if got := pacing.delay(failures, false, test.err, rng); got < test.least || got > test.most {
				t.Errorf("%s, %d consecutive failures: delay %s, want %s to %s", name, failures, got, test.least, test.most)
			}
			if got, least := pacing.delay(failures, true, test.err, rng), test.least+pacing.InterimRetry.Base/2; got < least {
				t.Errorf("%s, %d consecutive failures of a node that reads in the interim: delay %s, want at least %s", name, failures, got, least)
			}
		}
	}
}
