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

// TestServesOwnServerUntilDrained checks that a stopping node accepts requests while its
// server still runs some, since these make calls through the node, which would fail.
func TestServesOwnServerUntilDrained(t *testing.T) {
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
		time.Sleep(10 * time.Millisecond) // a node that stops too early closes its listener meanwhile
	}
	close(m.gate.drained)
	if err := <-m.stopped; err != nil {
		t.Error(err)
	}
	if _, err := m.client.Get(m.url + "/nowhere"); err == nil {
		t.Error("a call is accepted after the node has stopped")
	}
}

// TestClosesConnectionsWhileLeaving checks that a leaving node still responds, and asks
// its callers to close their connections. Otherwise a caller could send a request on a
// connection that the node is about to close.
func TestClosesConnectionsWhileLeaving(t *testing.T) {
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
			t.Errorf("leaving %t: response asks to close the connection: %t", leaving, response.Close)
		}
	}
}

// blockingListener, once armed, blocks the server after it has read the header of one
// request and before it marks the connection as active.
type blockingListener struct {
	net.Listener
	armed atomic.Bool
	// read is closed when the header has been read, release unblocks the server, and
	// closed receives a value when a connection is closed.
	read, release, closed chan struct{}
}

// Accept implements net.Listener.
func (l *blockingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &blockingConn{Conn: conn, listener: l}, err
}

type blockingConn struct {
	net.Conn
	listener *blockingListener
}

// SetWriteDeadline implements net.Conn. The server calls it when it has read the
// header of a request, before it marks the connection as active.
func (c *blockingConn) SetWriteDeadline(at time.Time) error {
	if !at.IsZero() && c.listener.armed.CompareAndSwap(true, false) {
		close(c.listener.read)
		<-c.listener.release
	}
	return c.Conn.SetWriteDeadline(at)
}

// Close implements net.Conn.
func (c *blockingConn) Close() error {
	err := c.Conn.Close()
	select {
	case c.listener.closed <- struct{}{}:
		time.Sleep(200 * time.Millisecond) // so that the request is handled before Stop continues
	default:
	}
	return err
}

// TestShutdownRespondsToHandledRequests guards against a shutdown that closes a connection
// as idle although its next request has just been read: the request would be handled,
// but its caller would get no response.
func TestShutdownRespondsToHandledRequests(t *testing.T) {
	m := newMesh(t)
	m.blocking = &blockingListener{read: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{}, 1)}
	m.start(0)
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func() { _, _ = io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n") }
	receive := func() error {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	send()
	if err := receive(); err != nil {
		t.Fatal(err)
	}
	m.blocking.armed.Store(true)
	send()
	<-m.blocking.read
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(context.Background()) }()
	select {
	case <-m.blocking.closed:
	case <-time.After(500 * time.Millisecond): // the connection was not closed
	}
	close(m.blocking.release)
	receiveErr := receive()
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
		time.Sleep(10 * time.Millisecond) // the request may be handled after its connection is closed
	}
	if handled > 1 && receiveErr != nil {
		t.Errorf("%d requests were handled, but the last one got no response: %v", handled, receiveErr)
	}
}
