package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/warmup"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// statedWarmup is a header protocol whose health responses state the warm-up that it
// holds, in milliseconds, or nothing if it is negative. A server answers the path /other as another instance.
type statedWarmup struct {
	frontend.Native
	left atomic.Int64
}

func (w *statedWarmup) FromHealth(http.Header) (time.Duration, bool) {
	left := w.left.Load()
	return time.Duration(left) * time.Millisecond, left >= 0
}

func (w *statedWarmup) FromServer(_ int, h http.Header) frontend.ServerResponse {
	misdirected := h.Get("X-Other-Instance") != ""
	return frontend.ServerResponse{WithoutID: true, NotRun: misdirected, Misdirected: misdirected}
}

// coldNode is a node beside a server that tolerates 2 requests per second while cold, for
// 10 s.
type coldNode struct {
	*node
	t       *testing.T
	clock   *testClock
	members *memberList
	stated  *statedWarmup
	sent    int
}

func startColdNode(t *testing.T) *coldNode {
	t.Helper()
	c := &coldNode{t: t, clock: newTestClock(), stated: &statedWarmup{}}
	c.stated.left.Store(-1)
	c.members = &memberList{headers: c.stated}
	service := &model.Service{Name: serviceName, Slots: 6, Queue: 20, WarmupRate: 2, Warmup: 10 * time.Second}
	c.node = startNode("a", c.clock, &ledger{runs: map[string]int{}}, c.members, service)
	t.Cleanup(c.close)
	return c
}

// send begins a request and returns the channel that receives its result. It waits until the request
// is queued if queued is set.
func (c *coldNode) send(queued bool) <-chan string {
	c.sent++
	id, before := fmt.Sprint("r", c.sent), c.gate.Stats().Queued
	r, err := http.NewRequest(http.MethodGet, "http://"+c.address+"/ok", nil)
	must(err)
	hop.Request{
		ID: model.RequestID(id), Service: serviceName, Route: "book", Class: model.ClassShort, Idempotent: true,
		Attempt: 1, Timeout: 5 * time.Second, SoftTimeout: 5 * time.Second,
	}.Encode(r.Header)
	r.Header.Set("X-Test-Id", id)
	result := make(chan string, 1)
	go func() {
		s := &scenario{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		result <- s.do(r, id)
	}()
	if queued {
		waitFor(func() bool { return c.gate.Stats().Queued > before })
	}
	return result
}

// expect sends count requests, of which the first ones start at once and the others are
// queued, and returns the results of the queued ones.
func (c *coldNode) expect(start, queued int) []<-chan string {
	c.t.Helper()
	for range start {
		if result := <-c.send(false); result[:8] != "answered" {
			c.t.Fatalf("request %d: %s", c.sent, result)
		}
	}
	var waiting []<-chan string
	for range queued {
		waiting = append(waiting, c.send(true))
	}
	return waiting
}

// list posts a listing of the server.
func (c *coldNode) list(at model.Revision, left time.Duration) {
	m := c.members.all()[0]
	m.Listed, m.ListedAt, m.WarmupLeft = model.ListingLive, at, left
	c.members.remove("a")
	c.members.add(m)
	must(c.kernel.Loop().Post(c.t.Context(), control.MembersChanged{Changed: []model.Member{m}}))
	c.settle()
}

// settle waits until the control loop has handled what was posted.
func (c *coldNode) settle() {
	last := loopBarrier{done: make(chan struct{})}
	must(c.kernel.Loop().Post(c.t.Context(), last))
	<-last.done
}

func (c *coldNode) cold() bool { return c.gate.Stats().Warmup.Cold }

// TestColdServerGetsItsRate guards against a gate that sends a cold server more requests in
// a second than it tolerates, lets later ones overtake those that wait, or does not wake them.
func TestColdServerGetsItsRate(t *testing.T) {
	c := startColdNode(t)
	c.list(1, 5*time.Second)
	c.clock.fake.Advance(warmup.Window) // of the process before
	waiting := c.expect(2, 3)
	c.clock.fake.Advance(time.Second)
	if queued := c.gate.Stats().Queued; queued != 3 {
		t.Fatalf("%d queued after a second, want 3", queued)
	}
	c.clock.fake.Advance(warmup.Window - time.Second)
	for _, first := range waiting[:2] {
		<-first
	}
	if stats := c.gate.Stats(); stats.Queued != 1 || stats.Warmup.InLastSecond != 2 || stats.Warmup.Limit != 2 {
		t.Errorf("%+v, %+v", stats, stats.Warmup)
	}
	c.clock.fake.Advance(5 * time.Second)
	<-waiting[2]
	if c.expect(8, 0); c.cold() {
		t.Error("the server is still treated as cold")
	}
}

// TestGateAssumesColdServerAfterItsOwnRestart guards against a node that forgets the requests of the
// process before it, and against one that throttles a server that is listed as warm.
func TestGateAssumesColdServerAfterItsOwnRestart(t *testing.T) {
	c := startColdNode(t)
	waiting := c.expect(0, 1)
	c.list(1, 0)
	<-waiting[0]
	c.expect(8, 0)
	if c.cold() {
		t.Error("a server that is listed as warm is treated as cold")
	}
	c.list(2, 3*time.Second)
	c.list(2, 3*time.Second)
	c.clock.fake.Advance(2 * time.Second)
	c.list(2, 3*time.Second) // repeated by another node
	c.clock.fake.Advance(time.Second)
	if c.cold() {
		t.Error("a repeated listing made the server cold again")
	}
}

// TestServerThatWasDownIsCold guards against a server that comes back from a crash into its
// full load, with and without a health response that states its warm-up.
func TestServerThatWasDownIsCold(t *testing.T) {
	for stated, want := range map[int64]time.Duration{4000: 4 * time.Second, -1: 10 * time.Second} {
		t.Run(want.String(), func(t *testing.T) {
			c := startColdNode(t)
			c.list(1, 0)
			c.clock.fake.Advance(warmup.Window)
			c.stated.left.Store(stated)
			c.server.crash()
			waitFor(func() bool { return !c.backend.Available() })
			c.server.start()
			waitFor(c.backend.Available)
			c.settle()
			c.list(2, 0) // written before the crash
			if left := c.gate.Stats().Warmup.Left; left != want {
				t.Errorf("left %s, want %s", left, want)
			}
			waiting := c.expect(2, 1)
			c.clock.fake.Advance(warmup.Window)
			<-waiting[0]
		})
	}
}

// TestMisdirectedRequestsDoNotCount guards against a cold server that gets less than its
// rate because it was replaced by another instance.
func TestMisdirectedRequestsDoNotCount(t *testing.T) {
	c := startColdNode(t)
	c.list(1, 5*time.Second)
	c.clock.fake.Advance(warmup.Window)
	c.server.misdirect.Store(true)
	for range 2 {
		if result := <-c.send(false); result != "not-run server-refused (503)" && result != "not-run no-server (503)" {
			t.Errorf("%s", result)
		}
	}
	if n := c.gate.Stats().Warmup.InLastSecond; n != 0 {
		t.Errorf("%d requests count, want 0", n)
	}
}

// TestServerIsUsedAgainUnderItsID guards against refusing all requests of a server that starts
// again under an ID which another server at its address has rejected.
func TestServerIsUsedAgainUnderItsID(t *testing.T) {
	c := startColdNode(t)
	c.list(1, 0)
	c.server.misdirect.Store(true)
	for _, want := range []string{"not-run server-refused (503)", "not-run no-server (503)"} {
		if result := <-c.send(false); result != want {
			t.Errorf("%s, want %s", result, want)
		}
	}
	c.server.misdirect.Store(false)
	if result := <-c.send(false); result != "not-run no-server (503)" {
		t.Errorf("before the platform lists the server again: %s", result)
	}
	c.list(2, 0)
	if result := <-c.send(false); !strings.HasPrefix(result, "answered") {
		t.Errorf("after the platform has listed the server again: %s", result)
	}
}

// TestColdAssumptionEndsWithHealthResponse guards against full load at a server of a
// domain that returns from an evacuation, and against one that stays throttled after it
// has stated that it is warm.
func TestColdAssumptionEndsWithHealthResponse(t *testing.T) {
	c := startColdNode(t)
	c.clock.healthChecksPaused.Store(true)
	c.list(1, 0)
	waitFor(func() bool { // until no regular check is due
		at, ok := c.clock.fake.Next()
		return ok && at.Sub(c.clock.fake.Now()) <= checkInterval
	})
	c.stated.left.Store(2500)
	must(c.kernel.Loop().Post(t.Context(), control.EvacuationChanged{Evacuated: false}))
	waitFor(func() bool { left := c.gate.Stats().Warmup.Left; return left > 0 && left <= 2500*time.Millisecond })
	c.clock.fake.Advance(2500 * time.Millisecond)
	if c.cold() {
		t.Error("still cold")
	}
}
