package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/hedge"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/forward"
)

// TestHedgeByLatencyWins guards against a request that waits for a slow server although
// hedges are allowed, and against a loser that runs on or whose response is used.
func TestHedgeByLatencyWins(t *testing.T) {
	m := newHedgeMesh(t, 20)
	m.learn(hedgedPath)
	first, finish := m.beginHeld(context.Background(), hedgedPath, 10)
	m.fakeClock.Advance(hedgeDue)
	second, ok := strings.CutPrefix(finish(), "200 galena-outcome=answered\nresponse of ")
	if !ok || second == first {
		t.Errorf("got %q, first attempt at %s", second, first)
	}
	m.balancer.outstanding.Wait()
	for !strings.Contains(<-m.script.recorded, first+": cancelled") {
	}
	lines := strings.Join(m.script.takeLedger(), "\n")
	for _, want := range []string{first + ": ran ", first + ": cancelled ", second + ": ran "} {
		if !strings.Contains(lines, want) {
			t.Errorf("no line %q in\n%s", want, lines)
		}
	}
	if !strings.Contains(lines, "attempt 2 body 10") {
		t.Errorf("the hedge did not repeat the body:\n%s", lines)
	}
	if got, want := time.Duration(m.balancer.cancelled.Load()), hedge.LoserLatency(hedgeDue); got != want {
		t.Errorf("the loser is reported with %s, want %s", got, want)
	}
	status := m.operator.sections["hedges"]().(forward.HedgeStatus)
	if s := status.Services[0]; s.Requests != learnedReads+1 || s.Hedges != 1 || s.Started != 1 || s.Won != 1 {
		t.Errorf("status of the service: %+v", s)
	}
	if r := status.Routes[0]; !r.Hedged || r.DelayMilliseconds < usualRead.Milliseconds() || r.DelayMilliseconds > hedgeDue.Milliseconds() {
		t.Errorf("status of the route: %+v", r)
	}
	if m.counter("forward_hedges_won") == 0 {
		t.Error("no won hedge is counted")
	}
}

// TestRefusedHedgeIsRepeated guards against a request without a hedge because the gate that
// was chosen for it has no free slot any more, and against a hedge that tries all gates.
func TestRefusedHedgeIsRepeated(t *testing.T) {
	for refusals, want := range []int{2, 3, 3} {
		m := newHedgeMesh(t, 20)
		m.learn(hedgedPath)
		m.script.set(append([]string{"hold"}, slices.Repeat([]string{"refuse busy"}, refusals)...))
		finish := m.beginRead(context.Background(), hedgedPath, 10)
		first := <-m.script.held
		m.fakeClock.Advance(hedgeDue)
		for range refusals {
			for !strings.Contains(<-m.script.recorded, "busy") {
			}
		}
		if refusals == 2 {
			time.Sleep(20 * time.Millisecond) // in which a third hedge would be sent
			m.script.releases <- struct{}{}   // the first attempt responds
		}
		got, ok := strings.CutPrefix(finish(), "200 galena-outcome=answered\nresponse of ")
		if !ok || (got == first) != (refusals == 2) {
			t.Errorf("%d refusals: %q", refusals, got)
		}
		m.balancer.outstanding.Wait()
		lines := m.script.takeLedger()
		attempts := len(lines) - strings.Count(strings.Join(lines, "\n"), "cancelled")
		if attempts != want {
			t.Errorf("%d refusals: %d attempts, want %d: %q", refusals, attempts, want, lines)
		}
		if hedges := m.counter("forward_hedges"); hedges != 1 {
			t.Errorf("%d refusals: %d hedges counted", refusals, hedges)
		}
	}
}

// TestLoserIsCancelledAtOnce guards against a first attempt that runs on until the response of
// its hedge has been sent.
func TestLoserIsCancelledAtOnce(t *testing.T) {
	m := newHedgeMesh(t, 20)
	m.learn(hedgedPath)
	m.script.set([]string{"hold", "pause large"})
	finish := m.beginRead(context.Background(), hedgedPath, 10)
	first := <-m.script.held
	m.fakeClock.Advance(hedgeDue)
	if second := <-m.script.held; second == first {
		t.Fatalf("both attempts at %s", first)
	}
	for !strings.Contains(<-m.script.recorded, first+": cancelled") {
	}
	m.script.releases <- struct{}{}
	if got := finish(); !strings.HasSuffix(got, "200000 bytes") {
		t.Error(got)
	}
}

// TestNotHedgedByLatency guards against hedges that nobody allowed: with 0 percent, on
// routes that are not idempotent or have no objective, and with streamed bodies, every request makes one attempt and
// nothing is counted.
func TestNotHedgedByLatency(t *testing.T) {
	for _, c := range []struct {
		name, path     string
		percent, bytes int
	}{
		{"0 percent", hedgedPath, 0, 10},
		{"not idempotent", oncePath, 20, 10},
		{"no objective", unhedgedPath, 20, 10},
		{"streamed body", hedgedPath, 20, 100_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newHedgeMesh(t, c.percent)
			m.learn(c.path)
			before := m.counter("forward_hedges") + m.counter("forward_hedges_skipped")
			first, finish := m.beginHeld(context.Background(), c.path, c.bytes)
			m.fakeClock.Advance(10 * hedgeDue)
			time.Sleep(20 * time.Millisecond) // in which a hedge would be sent
			m.script.releases <- struct{}{}
			if got, want := finish(), "200 galena-outcome=answered\nresponse of "+first; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			lines := m.script.takeLedger()
			if end := fmt.Sprintf(" attempt 1 body %d", c.bytes); len(lines) != 1 || !strings.HasSuffix(lines[0], end) {
				t.Errorf("got %q, want one line that ends with %q", lines, end)
			}
			if _, ok := m.operator.sections["hedges"]; ok != (c.percent > 0) {
				t.Errorf("section of the status page: %t", ok)
			}
			if after := m.counter("forward_hedges") + m.counter("forward_hedges_skipped"); after != before {
				t.Errorf("%d hedges were due", after-before)
			}
		})
	}
}

// TestHedgesNeedATokenOfTheMesh guards against hedges beyond the limits over all nodes.
func TestHedgesNeedATokenOfTheMesh(t *testing.T) {
	m := newHedgeMeshWith(t, forward.Config{HedgePercent: 20, Limits: retry.Limits{Window: 10 * time.Second}})
	m.learn(hedgedPath)
	for _, reason := range []hedge.Reason{"", hedge.NoToken} { // there is one token
		_, finish := m.beginHeld(context.Background(), hedgedPath, 10)
		m.fakeClock.Advance(hedgeDue)
		if reason != "" {
			m.awaitSkipped(reason)
			m.script.releases <- struct{}{}
		}
		if got := finish(); !strings.HasPrefix(got, "200") {
			t.Error(got)
		}
		m.balancer.outstanding.Wait()
	}
	if hedges := m.counter("forward_hedges"); hedges != 1 {
		t.Errorf("%d hedges", hedges)
	}
}

// originHeaders is a header protocol whose servers are told the calling service.
type originHeaders struct{ frontend.Native }

func (originHeaders) StatesOrigin() bool { return true }

// TestSuspectIsNotHedged guards against a request that crashes two servers at once, although
// it is suspected: node and gate must compute the same fingerprint.
func TestSuspectIsNotHedged(t *testing.T) {
	const caller = model.ServiceName("shop/front")
	m := newHedgeMeshWith(t, forward.Config{HedgePercent: 20, Origin: caller, Headers: originHeaders{}})
	m.learn(hedgedPath)
	body, err := call.ReadBody(strings.NewReader("xxxxxxxxxx"), 10)
	if err != nil {
		t.Fatal(err)
	}
	// These are the attributes that the gate uses (service/gate, newCall).
	f := quarantine.Attributes{
		Caller: caller, Method: http.MethodPut, Path: hedgedPath, BodyLength: 10, BodyDigest: body.Digest(),
	}.Fingerprint()
	now := m.fakeClock.Now()
	table, _ := quarantine.Table{}.Add([]quarantine.Suspect{{
		Fingerprint: f, Crashes: []quarantine.Crash{{Instance: "a", Time: now.UnixMilli()}}, Expires: now.Add(time.Hour),
	}}, now)
	m.suspects.table.Store(table)
	_, finish := m.beginHeld(context.Background(), hedgedPath, 10)
	m.fakeClock.Advance(hedgeDue)
	m.awaitSkipped(hedge.Suspect)
	m.script.releases <- struct{}{}
	if got := finish(); !strings.HasPrefix(got, "200") {
		t.Error(got)
	}
}

// TestCallerLeavesHedgedRequest guards against attempts that run on after their caller has
// left.
func TestCallerLeavesHedgedRequest(t *testing.T) {
	m := newHedgeMesh(t, 20)
	m.learn(hedgedPath)
	hedges := m.counter("forward_hedges")
	ctx, cancel := context.WithCancel(context.Background())
	first, finish := m.beginHeld(ctx, hedgedPath, 10)
	cancel()
	finish()
	for !strings.Contains(<-m.script.recorded, first+": cancelled") {
	}
	m.fakeClock.Advance(10 * hedgeDue)
	m.balancer.outstanding.Wait()
	if got := m.counter("forward_hedges"); got != hedges {
		t.Errorf("%d hedges after the caller has left", got-hedges)
	}
}
