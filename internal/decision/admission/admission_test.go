package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/admission"
	"github.com/galenalever/galenalever/internal/model"
)

var start = time.Unix(0, 0)

func format(decisions ...admission.Decision) string {
	var b strings.Builder
	for _, d := range decisions {
		verdict := map[admission.Verdict]string{admission.Run: "run", admission.Wait: "wait", admission.Refuse: "refuse"}[d.Verdict]
		fmt.Fprintf(&b, "%d %s", d.Ticket, verdict)
		if d.Verdict == admission.Refuse {
			fmt.Fprintf(&b, " %s retry-after=%s", d.Reason, d.RetryAfter)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestScenarios runs the scenario files in testdata, whose times are in milliseconds.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *admission.State
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ticket, slots, long, queue, at int
			class := "short"
			deadline, softDeadline, priority, maxQueueWait := 1000, 0, 0, 0
			d.MaybeScanArgs(t, "max-queue-wait", &maxQueueWait)
			kind := ""
			d.MaybeScanArgs(t, "soft-deadline", &softDeadline)
			d.MaybeScanArgs(t, "priority", &priority)
			d.MaybeScanArgs(t, "kind", &kind)
			d.MaybeScanArgs(t, "ticket", &ticket)
			d.MaybeScanArgs(t, "class", &class)
			d.MaybeScanArgs(t, "deadline", &deadline)
			if d.MaybeScanArgs(t, "at", &at) {
				now = start.Add(time.Duration(at) * time.Millisecond)
			}
			d.MaybeScanArgs(t, "slots", &slots)
			d.MaybeScanArgs(t, "long", &long)
			d.MaybeScanArgs(t, "queue", &queue)
			limits := admission.Limits{Slots: slots, LongSlots: long, Queue: queue}
			switch d.Cmd {
			case "new":
				s = admission.New(limits)
				return ""
			case "configure":
				return format(s.Configure(limits, now)...)
			case "arrive":
				r := admission.Request{
					Ticket: admission.Ticket(ticket), Class: model.Class(class),
					Deadline: start.Add(time.Duration(deadline) * time.Millisecond), Exclusive: d.HasArg("exclusive"),
					Priority: priority, Kind: kind, FinalAttempt: d.HasArg("final-attempt"),
					MaxQueueWait: time.Duration(maxQueueWait) * time.Millisecond,
				}
				if softDeadline > 0 {
					r.SoftDeadline = start.Add(time.Duration(softDeadline) * time.Millisecond)
				}
				return format(s.Arrive(r, now))
			case "finish":
				return format(s.Finish(admission.Ticket(ticket), now)...)
			case "abandon":
				return format(s.Abandon(admission.Ticket(ticket), now)...)
			case "leave":
				return format(s.Leave()...)
			case "load":
				l := s.Load()
				return fmt.Sprintf("running=%d queued=%d slots=%d\n", l.Running, l.Queued, l.Slots)
			}
			return "unknown command"
		})
	})
}

// TestInvariants checks on random sequences of events that the limits hold, that a
// request gets one final decision, and that no request waits while a slot is free
// for it.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Limits{Slots: 4, LongSlots: 2, Queue: 5}
		s := admission.New(limits)
		now := start
		state := make(map[admission.Ticket]admission.Verdict)
		long := make(map[admission.Ticket]bool)
		record := func(decisions ...admission.Decision) {
			for _, d := range decisions {
				if old := state[d.Ticket]; old == admission.Run || old == admission.Refuse {
					t.Fatalf("second final decision on ticket %d", d.Ticket)
				}
				state[d.Ticket] = d.Verdict
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "step")) * time.Millisecond)
			ticket := admission.Ticket(i + 1)
			other := admission.Ticket(rapid.IntRange(1, i+1).Draw(t, "other"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				long[ticket] = rapid.Bool().Draw(t, "long")
				class := model.ClassShort
				if long[ticket] {
					class = model.ClassLong
				}
				deadline := now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "left")) * time.Millisecond)
				record(s.Arrive(admission.Request{Ticket: ticket, Class: class, Deadline: deadline}, now))
			case 2:
				if state[other] == admission.Run {
					delete(state, other)
					record(s.Finish(other, now)...)
				}
			case 3:
				if state[other] == admission.Wait || state[other] == admission.Run {
					delete(state, other)
					record(s.Abandon(other, now)...)
				}
			}
			running, runningLong, queued := 0, 0, 0
			for id, v := range state {
				if v == admission.Run {
					running++
					if long[id] {
						runningLong++
					}
				}
				if v == admission.Wait {
					queued++
				}
			}
			l := s.Load()
			if l.Running != running || l.Queued != queued || running > limits.Slots || runningLong > limits.LongSlots || queued > limits.Queue {
				t.Fatalf("load %+v, want running=%d long=%d queued=%d", l, running, runningLong, queued)
			}
			for id, v := range state {
				if v == admission.Wait && running < limits.Slots && (!long[id] || runningLong < limits.LongSlots) {
					t.Fatalf("ticket %d waits while a slot is free", id)
				}
			}
		}
	})
}
