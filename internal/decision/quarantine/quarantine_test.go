package quarantine_test

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/model"
)

var start = time.Unix(0, 0)

func memberList(names string) []model.Member {
	var out []model.Member
	for name := range strings.SplitSeq(names, "+") {
		m := model.Member{ID: model.InstanceID(name)}
		m.Announced.Presence = model.PresenceReady
		out = append(out, m)
	}
	return out
}

// crashList parses crashes of the form "instance@time+instance@time". A time that ends
// with ! is that of a request that ran alone.
func crashList(text string) []quarantine.Crash {
	var out []quarantine.Crash
	for crash := range strings.SplitSeq(text, "+") {
		instance, at, ok := strings.Cut(crash, "@")
		if !ok {
			continue
		}
		at, alone := strings.CutSuffix(at, "!")
		n, _ := strconv.ParseInt(at, 10, 64)
		out = append(out, quarantine.Crash{Instance: model.InstanceID(instance), Time: n, Alone: alone})
	}
	return out
}

// TestScenarios runs the files in testdata. Times are in seconds, those of crashes in
// milliseconds; "decide" lists the verdict of each member's server on a request.
func TestScenarios(t *testing.T) {
	verdicts := map[quarantine.Verdict]string{
		quarantine.Clear: "clear", quarantine.RunAlone: "run-alone",
		quarantine.RunElsewhere: "run-elsewhere", quarantine.Quarantined: "quarantined",
	}
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var table quarantine.Table
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var f, at, expires int
			var crashed, cleared, members string
			if d.MaybeScanArgs(t, "at", &at) {
				now = start.Add(time.Duration(at) * time.Second)
			}
			d.MaybeScanArgs(t, "request", &f)
			d.MaybeScanArgs(t, "crashed", &crashed)
			d.MaybeScanArgs(t, "expires", &expires)
			d.MaybeScanArgs(t, "members", &members)
			fingerprint := quarantine.Fingerprint(f)
			var changes quarantine.Changes
			switch d.Cmd {
			case "add":
				s := quarantine.Suspect{Fingerprint: fingerprint, Expires: start.Add(time.Duration(expires) * time.Second)}
				s.Crashes = crashList(crashed)
				d.MaybeScanArgs(t, "cleared", &cleared)
				s.Cleared = crashList(cleared)
				table, changes = table.Add([]quarantine.Suspect{s}, now)
				return fmt.Sprintf("suspected=%d quarantined=%d ended=%d\n", len(changes.Suspected), len(changes.Quarantined), len(changes.Ended))
			case "expire":
				table, changes = table.Expire(now)
				return fmt.Sprintf("ended=%d left=%d\n", len(changes.Ended), table.Len())
			case "decide":
				var b strings.Builder
				for _, m := range memberList(members) {
					decision := table.Decide(fingerprint, m.ID, memberList(members), now)
					fmt.Fprintf(&b, "%s: %s\n", m.ID, verdicts[decision.Verdict])
				}
				return b.String()
			}
			return "unknown command"
		})
	})
}

var (
	crashes = rapid.Custom(func(t *rapid.T) quarantine.Crash {
		return quarantine.Crash{
			Instance: rapid.SampledFrom([]model.InstanceID{"a", "b", "c"}).Draw(t, "instance"),
			Time:     rapid.Int64Range(1, 2).Draw(t, "time"),
			Alone:    rapid.Bool().Draw(t, "alone"),
		}
	})
	suspects = rapid.Custom(func(t *rapid.T) quarantine.Suspect {
		return quarantine.Suspect{
			Fingerprint: quarantine.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
			Crashes:     rapid.SliceOfN(crashes, 1, 3).Draw(t, "crashes"),
			Cleared:     rapid.SliceOfN(crashes, 0, 2).Draw(t, "cleared"),
			Expires:     start.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "expires")) * time.Second),
		}
	})
)

// TestRecordsConverge checks that nodes which receive the same records in any
// order, each of them twice, have the same suspects.
func TestRecordsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(suspects, 1, 8).Draw(t, "records")
		var once, shuffled quarantine.Table
		for _, n := range records {
			once, _ = once.Add([]quarantine.Suspect{n}, start)
		}
		order := rapid.Permutation(append(records, records...)).Draw(t, "order")
		for _, n := range order {
			shuffled, _ = shuffled.Add([]quarantine.Suspect{n}, start)
		}
		if !reflect.DeepEqual(once.Suspects(start), shuffled.Suspects(start)) {
			t.Fatalf("%v differs from %v", once.Suspects(start), shuffled.Suspects(start))
		}
	})
}

// TestAtMostOneDesignated checks that shortly after a crash, among nodes with equal
// tables and members, exactly one runs a suspect, and none one that is quarantined. It
// is one that the suspect has not crashed, unless it has crashed all.
func TestAtMostOneDesignated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := memberList(rapid.SampledFrom([]string{"a", "a+b", "a+b+c+d+e+f"}).Draw(t, "members"))
		s := suspects.Draw(t, "suspect")
		s.Expires = start.Add(quarantine.Duration)
		table, _ := quarantine.Table{}.Add([]quarantine.Suspect{s}, start)
		known := table.Suspects(start)[0]
		isCrashed := func(m model.Member) bool { return slices.Contains(known.Crashed(), m.ID) }
		allCrashed := !slices.ContainsFunc(members, func(m model.Member) bool { return !isCrashed(m) })
		runs := 0
		for _, m := range members {
			d := table.Decide(s.Fingerprint, m.ID, members, start)
			if d.Verdict != quarantine.Clear && d.Verdict != quarantine.RunAlone {
				continue
			}
			runs++
			if isCrashed(m) && !allCrashed {
				t.Fatalf("runs again at %s, which it has crashed", m.ID)
			}
		}
		want := 1
		switch {
		case len(known.Crashed()) == 0:
			want = len(members)
		case known.Quarantined():
			want = 0
		}
		if runs != want {
			t.Fatalf("%d servers run %+v, want %d", runs, s, want)
		}
	})
}

// TestCrashesInCompanyQuarantineNothing guards against requests that were refused for
// minutes because several servers that ran them crashed at once: without a crash of a
// server that ran the request alone, every record leaves some server to run it.
func TestCrashesInCompanyQuarantineNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := memberList("a+b+c")
		s := suspects.Draw(t, "suspect")
		for i := range s.Crashes {
			s.Crashes[i].Alone = false
		}
		s.Expires = start.Add(quarantine.Duration)
		table, changes := quarantine.Table{}.Add([]quarantine.Suspect{s}, start)
		if len(changes.Quarantined) > 0 {
			t.Fatalf("%+v is quarantined", s)
		}
		after := start.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second, time.Minute}).Draw(t, "after"))
		if !slices.ContainsFunc(members, func(m model.Member) bool {
			verdict := table.Decide(s.Fingerprint, m.ID, members, after).Verdict
			return verdict == quarantine.Clear || verdict == quarantine.RunAlone
		}) {
			t.Fatalf("no server runs %+v", s)
		}
	})
}

// TestCompletionsAreRecent compares Completions with the times of all completions.
func TestCompletionsAreRecent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c quarantine.Completions
		latest, now := map[quarantine.Fingerprint]time.Time{}, start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			f := quarantine.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fingerprint"))
			at, ok := latest[f]
			if got, want := c.Recent(f, now), ok && now.Sub(at) < 10*time.Second; got != want {
				t.Fatalf("at %v: fingerprint %v completed at %v, Recent returns %v", now, f, at, got)
			}
			if rapid.Bool().Draw(t, "complete") {
				c.Add(f, now, now)
				latest[f] = now
			}
		}
	})
}
