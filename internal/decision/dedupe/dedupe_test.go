package dedupe_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/model"
)

var start = time.Unix(0, 0)

func format(d dedupe.Decision) string {
	name := map[dedupe.Verdict]string{
		dedupe.Run: "run", dedupe.Wait: "wait", dedupe.Replay: "replay",
		dedupe.RefuseNotRun: "not-run", dedupe.RefuseUnknown: "unknown",
	}[d.Verdict]
	if d.Answer != nil {
		name += fmt.Sprintf(" %d %s", d.Answer.Status, d.Answer.Body)
	}
	return strings.TrimSpace(name + " " + string(d.Reason))
}

func formatWoken(woken []dedupe.Woken) string {
	var b strings.Builder
	for _, w := range woken {
		fmt.Fprintf(&b, "%d: %s\n", w.Waiter, format(w.Decision))
	}
	return b.String()
}

// TestScenarios runs the scenario files in testdata, whose times are in seconds. The
// window is one minute.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var m *dedupe.Memory
		entries := make(map[string]*dedupe.Entry)
		now := start
		waiter := dedupe.Waiter(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, entryBound, bytes, waiters, fingerprint int
			var id, key, body string
			if d.MaybeScanArgs(t, "at", &at) {
				now = start.Add(time.Duration(at) * time.Second)
			}
			d.MaybeScanArgs(t, "entries", &entryBound)
			d.MaybeScanArgs(t, "bytes", &bytes)
			d.MaybeScanArgs(t, "waiters", &waiters)
			d.MaybeScanArgs(t, "fingerprint", &fingerprint)
			d.MaybeScanArgs(t, "id", &id)
			d.MaybeScanArgs(t, "key", &key)
			d.MaybeScanArgs(t, "body", &body)
			switch d.Cmd {
			case "new":
				m = dedupe.New(dedupe.Bounds{Window: time.Minute, Entries: entryBound, AnswerBytes: bytes, Waiters: waiters})
				return ""
			case "begin":
				keys := []dedupe.Key{dedupe.RequestKey(model.RequestID(id))}
				if key != "" {
					keys = append(keys, dedupe.IdempotencyKey("book", key))
				}
				waiter++
				decision := m.Begin(waiter, keys, uint64(fingerprint), now)
				if decision.Entry != nil {
					entries[id] = decision.Entry
				}
				return format(decision) + "\n"
			case "answered":
				var answer *dedupe.Answer
				if !d.HasArg("too-large") {
					answer = &dedupe.Answer{Status: 200, Body: []byte(body)}
				}
				return formatWoken(m.Answered(entries[id], answer, now))
			case "lost":
				return formatWoken(m.Lost(entries[id], now))
			case "not-run":
				return formatWoken(m.NotRun(entries[id], model.ReasonBackendDown))
			case "record", "drop":
				var runner string
				var incarnation int
				d.ScanArgs(t, "runner", &runner)
				d.ScanArgs(t, "incarnation", &incarnation)
				record := dedupe.KeyRecord{
					Key:    dedupe.IdempotencyKey("book", key),
					Runner: dedupe.Runner{Instance: model.InstanceID(runner), Incarnation: model.Incarnation(incarnation)},
				}
				if d.Cmd == "drop" {
					m.Drop(record)
					return ""
				}
				return [...]string{"new", "known", "not recorded"}[m.Record(record, now)] + "\n"
			case "replica-members":
				var names string
				d.ScanArgs(t, "members", &names)
				var out []string
				for _, member := range dedupe.ReplicaMembers(key, memberList(names)) {
					out = append(out, string(member.ID))
				}
				return strings.Join(out, " ") + "\n"
			case "len":
				return fmt.Sprintln(m.Len())
			}
			return "unknown command"
		})
	})
}

func memberList(names string) []model.Member {
	var out []model.Member
	for name := range strings.SplitSeq(names, "+") {
		out = append(out, model.Member{ID: model.InstanceID(name)})
	}
	return out
}

// TestAtMostOnce checks on random sequences of events within the window that no
// key runs twice unless the earlier request ended as not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := dedupe.New(dedupe.Bounds{Window: time.Hour, Entries: 100, AnswerBytes: 40, Waiters: 2})
		running := make(map[string]*dedupe.Entry)
		ran := make(map[string]bool)
		for i := range rapid.IntRange(1, 80).Draw(t, "events") {
			now := start.Add(time.Duration(i) * time.Second)
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				keys := []dedupe.Key{dedupe.RequestKey(model.RequestID(fmt.Sprint(i))), dedupe.IdempotencyKey("r", key)}
				d := m.Begin(dedupe.Waiter(i), keys, 1, now)
				if d.Verdict == dedupe.Run {
					if ran[key] || running[key] != nil {
						t.Fatalf("key %s runs twice", key)
					}
					running[key] = d.Entry
				}
				if d.Verdict == dedupe.RefuseNotRun {
					t.Fatalf("key %s refused as not run", key)
				}
				continue
			case 2:
				if running[key] != nil {
					m.Answered(running[key], &dedupe.Answer{Body: make([]byte, 20)}, now)
					ran[key] = true
				}
			case 3:
				if running[key] != nil {
					m.Lost(running[key], now)
					ran[key] = true
				}
			case 4:
				if running[key] != nil {
					m.NotRun(running[key], model.ReasonBackendDown)
				}
			}
			delete(running, key)
		}
	})
}
