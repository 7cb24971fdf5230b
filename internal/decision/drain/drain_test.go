package drain_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/drain"
)

const ms = time.Millisecond

// TestAccepts checks that a leaving node accepts a request only if it ends in time.
func TestAccepts(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	plan := drain.NewPlan(begin, 2800*ms, 5500*ms) // ends after 5.1 s
	tests := map[string]struct {
		at, timeout, longest time.Duration
		cold, want           bool
	}{
		"timeout ends in time":            {at: 4000 * ms, timeout: 1000 * ms, want: true},
		"timeout ends with the node":      {at: 4100 * ms, timeout: 1000 * ms, want: true},
		"timeout ends after the node":     {at: 4101 * ms, timeout: 1000 * ms, longest: 100 * ms},
		"short requests in the lead":      {at: 2700 * ms, timeout: 5000 * ms, longest: 2400 * ms, want: true},
		"long requests in the lead":       {at: 2700 * ms, timeout: 5000 * ms, longest: 2401 * ms},
		"unknown requests in the lead":    {at: 2700 * ms, timeout: 5000 * ms},
		"short requests after the lead":   {at: 2800 * ms, timeout: 5000 * ms, longest: 100 * ms},
		"anything after the node's end":   {at: 5200 * ms, timeout: 10 * ms, longest: 10 * ms},
		"unknown requests at once, short": {at: 0, timeout: 5000 * ms, want: true},
		// Guards against work of 2.5 s that a cold server has not ended when the node does.
		"long requests at cold servers":     {at: 200 * ms, timeout: 5000 * ms, longest: 2500 * ms, cold: true},
		"the same at the begin":             {at: 100 * ms, timeout: 5001 * ms, longest: 2500 * ms, cold: true, want: true},
		"short requests at cold servers":    {at: 2700 * ms, timeout: 5000 * ms, longest: 1200 * ms, cold: true, want: true},
		"unknown requests at cold servers":  {at: 200 * ms, timeout: 5000 * ms, cold: true},
		"timeout ends in time, cold server": {at: 4000 * ms, timeout: 1000 * ms, longest: 2500 * ms, cold: true, want: true},
	}
	for name, test := range tests {
		if got := plan.Accepts(begin.Add(test.at), begin.Add(test.at+test.timeout), drain.Estimate{Longest: test.longest, Cold: test.cold}); got != test.want {
			t.Errorf("%s: got %t, want %t", name, got, test.want)
		}
	}
}

// TestLimit checks that no deadline of an accepted request lies after the node's end, and
// that a short drain keeps most of its time.
func TestLimit(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	plan := drain.NewPlan(begin, 0, 100*ms)
	for deadline, want := range map[time.Duration]time.Duration{50 * ms: 50 * ms, 5000 * ms: 90 * ms} {
		if got := plan.Limit(begin.Add(deadline)).Sub(begin); got != want {
			t.Errorf("deadline %s: got %s, want %s", deadline, got, want)
		}
	}
}

// TestEstimatesEndWithLead guards against estimates in a long drain: a request that comes
// after the lead and takes longer than estimated would be cut.
func TestEstimatesEndWithLead(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	plan := drain.NewPlan(begin, 2800*ms, 9500*ms)
	for after, want := range map[time.Duration]bool{2799 * ms: true, 2800 * ms: false} {
		if got := plan.Accepts(begin.Add(after), begin.Add(20_000*ms), drain.Estimate{Longest: 100 * ms}); got != want {
			t.Errorf("after %s: got %t, want %t", after, got, want)
		}
	}
}

// TestPlanOfShortDrain checks that the steps of a drain keep their order, however short it
// is, and that work which still runs may make calls for half of it.
func TestPlanOfShortDrain(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	for _, timeout := range []time.Duration{100 * ms, 1000 * ms, 30_000 * ms} {
		plan := drain.NewPlan(begin, 0, timeout)
		if !plan.EstimateEnd.Before(plan.End) || !plan.End.Before(plan.CloseBy) || !plan.CloseBy.Before(begin.Add(timeout)) {
			t.Errorf("drain of %s: %+v", timeout, plan)
		}
		if !plan.Accepts(begin.Add(timeout/2-1), begin.Add(2*timeout), drain.Estimate{Longest: timeout / 3}) {
			t.Errorf("drain of %s: a call that takes a third of it is refused in its first half", timeout)
		}
	}
}

// TestLongest checks that a duration counts for at least one window and at most two.
func TestLongest(t *testing.T) {
	const s = time.Second
	var l drain.Longest
	observe := func(took, at time.Duration) func() { return func() { l.Observe(took, at) } }
	steps := []struct {
		observe  func()
		at, want time.Duration
	}{
		{func() {}, 0, 0},
		{observe(300*ms, 1*s), 2 * s, 300 * ms},
		{observe(200*ms, 29*s), 29 * s, 300 * ms},
		{observe(100*ms, 31*s), 59 * s, 300 * ms},
		{func() {}, 61 * s, 100 * ms},
		{func() {}, 125 * s, 0},
	}
	for i, step := range steps {
		step.observe()
		if got := l.Value(step.at); got != step.want {
			t.Errorf("step %d: got %s, want %s", i, got, step.want)
		}
	}
}

// TestTolerance guards against requests that a leaving node takes and breaks off before
// their deadlines, and against a tolerance that outlasts a short drain.
func TestTolerance(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	for timeout, want := range map[time.Duration]time.Duration{5500 * ms: 50 * ms, 1000 * ms: 25 * ms, 100 * ms: 2500 * time.Microsecond} {
		plan := drain.NewPlan(begin, 0, timeout)
		last := plan.End.Add(want)
		if !plan.FitsLate(last) || plan.FitsLate(last.Add(1)) || !last.Before(plan.CloseBy) {
			t.Errorf("drain of %s: tolerance %s, want %s", timeout, plan.Tolerance(), want)
		}
	}
}
