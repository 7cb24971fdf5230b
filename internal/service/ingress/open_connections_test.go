package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// openConn is a caller's connection that is kept open.
type openConn struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func (m *mesh) dial() *openConn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = conn.Close() })
	return &openConn{t: m.t, Conn: conn, reader: bufio.NewReader(conn)}
}

// send writes text to the connection.
func (c *openConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// beginBody sends the header of a request and the first chunk of its body; endBody sends
// the rest. The node reads the header meanwhile.
func (c *openConn) beginBody() {
	c.t.Helper()
	c.send("POST /book/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
	time.Sleep(50 * time.Millisecond)
}

func (c *openConn) endBody() { c.send("0\r\n\r\n") }

// receive reads a whole response and returns its head.
func (c *openConn) receive() (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// status reads a whole response and returns its status.
func (c *openConn) status() int {
	c.t.Helper()
	response, err := c.receive()
	if err != nil {
		c.t.Fatal(err)
	}
	return response.StatusCode
}

// roundTrip sends a request and returns the head of its whole response.
func (c *openConn) roundTrip(path string) (*http.Response, error) {
	if _, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"); err != nil {
		return nil, err
	}
	return c.receive()
}

// startWithGate starts the node with a route to a service that has one gate.
func (m *mesh) startWithGate() {
	m.tree.Services["shop/booking"] = &model.Service{Name: "shop/booking", Slots: 6, Queue: 12}
	m.tree.Routes = append(m.tree.Routes, &model.Route{
		Team: "shop", Name: "book", PathPrefix: "/book/", Service: "shop/booking", Class: model.ClassShort, Deadline: 30 * time.Second,
	})
	gate, err := newFakeGate("k", 7, m.script)
	if err != nil {
		m.t.Fatal(err)
	}
	m.gates["k"] = gate
	m.membership.members = append(m.membership.members, model.Member{
		ID: "k", Service: "shop/booking", Domain: "jkt", Addresses: model.Addresses{Traffic: gate.listener.Addr().String()},
		Announced: model.Announcement{Incarnation: 7, Presence: model.PresenceReady},
	})
	m.start(0)
	m.publish()
}

// TestSlowBodyOutlastsPlannedStop guards against a request that is accepted by the time
// of its header although its body arrives when too little of the drain is left.
func TestSlowBodyOutlastsPlannedStop(t *testing.T) {
	m := newMesh(t)
	m.startWithGate()
	conn := m.dial()
	conn.beginBody()
	m.startDrain(2800*time.Millisecond, 5500*time.Millisecond)
	m.fakeClock.Advance(3500 * time.Millisecond)
	conn.endBody()
	status := conn.status()
	if ran := m.script.takeLedger(); status != http.StatusServiceUnavailable || len(ran) > 0 {
		t.Errorf("status %d, gate: %v", status, ran)
	}
}

// TestPlannedStopDropsRequestOnOpenConnection guards against a planned stop that closes
// open connections while requests still arrive on them, and against one that an unused
// connection keeps from ending in time.
func TestPlannedStopDropsRequestOnOpenConnection(t *testing.T) {
	m := newMesh(t)
	m.startWithGate()
	idle := m.dial()
	if response, err := idle.roundTrip("/book/"); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("before the stop: %v, %v", response, err)
	}
	m.dial() // unused
	m.script.set([]string{"hold"})
	held := make(chan error, 1)
	busy := m.dial()
	go func() {
		response, err := busy.roundTrip("/book/")
		if err == nil && response.StatusCode != http.StatusOK {
			err = io.ErrUnexpectedEOF
		}
		held <- err
	}()
	<-m.script.held

	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second) // less than http.Server waits for unused connections
	defer cancel()
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(ctx) }()
	<-m.listener.closed
	time.Sleep(50 * time.Millisecond) // a server that closes its idle connections does so meanwhile
	response, err := idle.roundTrip("/book/")
	if err != nil {
		t.Errorf("request on an open connection while another one is in flight: %v", err)
	} else if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("request on an open connection: status %d, asks to close: %t", response.StatusCode, response.Close)
	}
	m.script.releases <- struct{}{}
	if err := <-held; err != nil {
		t.Errorf("request in flight: %v", err)
	}
	if err := <-m.stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}
