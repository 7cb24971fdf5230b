package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/drain"
	"github.com/galenalever/galenalever/internal/model"
)

// startDrain begins the drain of a node that may take the given time in all.
func (m *mesh) startDrain(lead, timeout time.Duration) drain.Plan {
	plan := drain.NewPlan(m.clock.Now(), lead, timeout)
	m.post(control.DrainStarted{Plan: plan})
	m.post(control.PresenceChanged{Presence: model.PresenceLeaving})
	return plan
}

// serveOnce serves a request that takes the given time.
func (m *mesh) serveOnce(took time.Duration) {
	m.t.Helper()
	m.script.set([]string{"hold"})
	conn, done := m.dial(), make(chan error, 1)
	go func() {
		_, err := conn.roundTrip("/book/")
		done <- err
	}()
	<-m.script.held
	m.fakeClock.Advance(took)
	m.script.releases <- struct{}{}
	if err := <-done; err != nil {
		m.t.Fatal(err)
	}
}

// TestShortDrainCutsRequestBeforeItsPlanEnds guards against a stop of ingress that gives up
// before the time by which the plan of the drain ends the requests in flight.
func TestShortDrainCutsRequestBeforeItsPlanEnds(t *testing.T) {
	const timeout = time.Second
	m := newMesh(t)
	m.startWithGate()
	m.script.set([]string{"hold"})
	conn, ended := m.dial(), make(chan string, 1)
	go func() {
		response, err := conn.roundTrip("/book/")
		if err != nil {
			ended <- err.Error()
			return
		}
		ended <- response.Status
	}()
	<-m.script.held
	begin := time.Now()
	plan := m.startDrain(0, timeout)
	left := plan.End.Sub(m.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(ctx) }()
	time.Sleep(time.Until(begin.Add(left)))
	m.fakeClock.Advance(left)
	if got := <-ended; !strings.HasPrefix(got, "502 ") {
		t.Errorf("request in flight at the end of the plan: %s", got)
	}
	if err := <-m.stopped; err != nil {
		t.Error(err)
	}
}

// TestRunningWorkMakesCallsWhileItsNodeDrains guards against a leaving node that waits for
// the work of its server and refuses the calls which that work makes, whose timeout is the
// default one.
func TestRunningWorkMakesCallsWhileItsNodeDrains(t *testing.T) {
	const timeout = 30 * time.Second
	m := newMesh(t)
	m.gate.drained = make(chan struct{}) // the server is at work
	m.startWithGate()
	m.serveOnce(100 * time.Millisecond)
	m.startDrain(0, timeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(ctx) }()
	response, err := m.dial().roundTrip("/book/")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("call of running work at the begin of a drain of %s: %+v, %v", timeout, response, err)
	}
	close(m.gate.drained)
	if err := <-m.stopped; err != nil {
		t.Error(err)
	}
}

// TestStreamedBodyOutlastsPlannedStop guards against a request with a large body that is
// accepted by the estimate of its route although its last byte arrives much later.
func TestStreamedBodyOutlastsPlannedStop(t *testing.T) {
	m := newMesh(t)
	m.startWithGate()
	m.serveOnce(100 * time.Millisecond)
	plan := m.startDrain(2800*time.Millisecond, 5500*time.Millisecond)
	m.fakeClock.Advance(2500 * time.Millisecond)
	m.script.set([]string{"hold"})
	conn := m.dial()
	chunk := strings.Repeat("x", 80<<10)
	if _, err := fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(chunk), chunk); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the body is passed on meanwhile
	m.fakeClock.Advance(2 * time.Second)
	conn.endBody()
	status := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	select {
	case <-m.script.held: // a server works on the request, whose last byte was sent after 4.5 s
		m.fakeClock.Advance(plan.End.Sub(m.clock.Now()))
		t.Errorf("broken off at the end of the drain while a server was at work: status %d", <-status)
	case got := <-status:
		if got != http.StatusServiceUnavailable {
			t.Errorf("status %d", got)
		}
	}
}

// TestSlowBodyThatBeginsInDrainOutlastsPlannedStop guards against a request that is
// accepted by the estimate of its route when its header arrives, and whose body arrives
// when less time is left than the estimate.
func TestSlowBodyThatBeginsInDrainOutlastsPlannedStop(t *testing.T) {
	m := newMesh(t)
	m.startWithGate()
	m.serveOnce(time.Second)
	plan := m.startDrain(2800*time.Millisecond, 5500*time.Millisecond)
	m.fakeClock.Advance(2500 * time.Millisecond)
	conn := m.dial()
	conn.beginBody()
	m.fakeClock.Advance(plan.End.Sub(m.clock.Now()) - 500*time.Millisecond)
	m.script.takeLedger()
	conn.endBody()
	status := conn.status()
	if ran := m.script.takeLedger(); status != http.StatusServiceUnavailable || len(ran) > 0 {
		t.Errorf("requests of the route take 1 s, 500 ms were left: status %d, gate: %v", status, ran)
	}
}

// TestLateRequestIsRefusedBeforeItsBody guards against a refusal that waits for the body of
// a request which the node cannot finish anyway.
func TestLateRequestIsRefusedBeforeItsBody(t *testing.T) {
	m := newMesh(t)
	m.startWithGate()
	m.startDrain(2800*time.Millisecond, 5500*time.Millisecond)
	m.fakeClock.Advance(3 * time.Second)
	conn := m.dial()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // less than the node waits for a body
	conn.send("POST /book/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n")
	if status := conn.status(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
}

// TestUnfinishedBodyDelaysPlannedStop guards against a stop that fails because a caller
// has sent the header of a request before it and never the whole body.
func TestUnfinishedBodyDelaysPlannedStop(t *testing.T) {
	const timeout = 3 * time.Second
	m := newMesh(t)
	m.startWithGate()
	conn := m.dial()
	conn.beginBody()
	begin := time.Now()
	plan := m.startDrain(0, timeout)
	left := plan.End.Sub(m.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(ctx) }()
	time.Sleep(time.Until(begin.Add(left)))
	m.fakeClock.Advance(left)
	if response, err := http.ReadResponse(conn.reader, nil); err != nil {
		t.Errorf("request whose body has not arrived by the end of the plan: %v", err)
	} else {
		_ = response.Body.Close()
	}
	if err := <-m.stopped; err != nil {
		t.Error(err)
	}
}
