package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
)

// TestCallsOfTheOwnServerAreTakenUntilItHasDrained checks that a node that stops
// takes requests for as long as its own server runs work, which makes calls.
func TestCallsOfTheOwnServerAreTakenUntilItHasDrained(t *testing.T) {
	m := newMesh(t)
	m.gate.drained = make(chan struct{})
	m.start(0)
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(context.Background()) }()
	for range 3 {
		response, err := m.client.Get(m.url + "/nowhere")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		time.Sleep(10 * time.Millisecond) // gives a wrong end the time to happen
	}
	close(m.gate.drained)
	if err := <-m.stopped; err != nil {
		t.Error(err)
	}
	if _, err := m.client.Get(m.url + "/nowhere"); err == nil {
		t.Error("a call is taken after the end")
	}
}

// TestCallersCloseTheirConnectionsWhileTheNodeLeaves checks that a node which has
// to leave asks its callers to close their connections, while it still answers.
func TestCallersCloseTheirConnectionsWhileTheNodeLeaves(t *testing.T) {
	m := newMesh(t)
	m.start(0)
	for _, leaving := range []bool{false, true} {
		if leaving {
			m.post(control.PresenceChanged{Presence: model.PresenceLeaving})
		}
		response, err := m.client.Get(m.url + "/nowhere")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.Close != leaving {
			t.Errorf("leaving %t: the connection closes %t", leaving, response.Close)
		}
	}
}

// lateListener holds the server up between the head of a request and the time from
// which its connection counts as active, once it is armed.
type lateListener struct {
	net.Listener
	armed atomic.Bool
	// read tells that a head was read, release lets the server go on, and closed
	// tells that a connection was closed.
	read, release, closed chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &lateConn{Conn: conn, listener: l}, err
}

type lateConn struct {
	net.Conn
	listener *lateListener
}

// SetWriteDeadline implements net.Conn. The server calls it when it has read the head
// of a request, before the connection counts as active.
func (c *lateConn) SetWriteDeadline(at time.Time) error {
	if !at.IsZero() && c.listener.armed.CompareAndSwap(true, false) {
		close(c.listener.read)
		<-c.listener.release
	}
	return c.Conn.SetWriteDeadline(at)
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	err := c.Conn.Close()
	select {
	case c.listener.closed <- struct{}{}:
		time.Sleep(200 * time.Millisecond) // lets the request go on before the server does
	default:
	}
	return err
}

// TestRequestReadAtTheEndOfADrainIsNotCut guards against a connection that counts as
// idle, and is closed, while its next request has just been read: the request is
// handled, and its caller gets no answer.
func TestRequestReadAtTheEndOfADrainIsNotCut(t *testing.T) {
	m := newMesh(t)
	m.late = &lateListener{read: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{}, 1)}
	m.start(0)
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	ask := func() { _, _ = io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n") }
	answer := func() error {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	ask()
	if err := answer(); err != nil {
		t.Fatal(err)
	}
	m.late.armed.Store(true)
	ask()
	<-m.late.read
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(context.Background()) }()
	select {
	case <-m.late.closed:
	case <-time.After(500 * time.Millisecond): // the connection stays open
	}
	close(m.late.release)
	failed := answer()
	if err := <-m.stopped; err != nil {
		t.Error(err)
	}
	handled := int64(0)
	for range 50 {
		handled = 0
		for _, c := range m.scope.Snapshot().Counters() {
			if c.Name() == "ingress.requests" {
				handled += c.Value()
			}
		}
		time.Sleep(10 * time.Millisecond) // the request may be handled after its connection has gone
	}
	if handled > 1 && failed != nil {
		t.Errorf("%d requests were handled, and the last one got no answer: %v", handled, failed)
	}
}
