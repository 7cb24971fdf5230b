package admission_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/admission"
)

// TestShortCallsAreNotRefusedForLongWorkOfOthers guards against calls that are refused
// although they would finish within their objective. A server runs bookings of 400 ms and
// calls of 20 ms, and bookings have just raised the average of all requests. A burst of
// calls waits behind calls only.
func TestShortCallsAreNotRefusedForLongWorkOfOthers(t *testing.T) {
	const slots, burst = 4, 8
	s := admission.New(admission.Limits{Slots: slots, Queue: 48})
	now, ticket := start, admission.Ticket(0)
	arrive := func(kind string, priority int, objective time.Duration) (admission.Ticket, admission.Decision) {
		ticket++
		return ticket, s.Arrive(admission.Request{
			Ticket: ticket, Class: "short", Kind: kind, Priority: priority,
			Deadline: now.Add(2 * time.Second), SoftDeadline: now.Add(objective),
		}, now)
	}
	run := func(kind string, took time.Duration, count int) {
		for range count {
			id, _ := arrive(kind, 0, time.Second)
			now = now.Add(took)
			s.Finish(id, now)
		}
	}
	run("call", 20*time.Millisecond, 20)
	run("booking", 400*time.Millisecond, 20)
	for range slots {
		arrive("call", 0, time.Second)
	}
	for range 2 {
		arrive("booking", 1, 2*time.Second) // less urgent, so calls do not wait for it
	}
	for i := range burst {
		if _, d := arrive("call", 0, 120*time.Millisecond); d.Verdict != admission.Wait {
			t.Errorf("call %d of the burst: %s", i, format(d))
		}
	}
}
