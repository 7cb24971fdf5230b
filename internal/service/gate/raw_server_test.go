package gate_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
)

// rawServer is a backend server that answers by writing bytes to the connection. It reads
// the next request once handle returns, unless the connection is closed.
type rawServer struct {
	handle   func(conn *net.TCPConn, r *http.Request)
	listener net.Listener
	serving  sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

// startRawServer starts a node with a rawServer, whose requests are handled by handle.
func startRawServer(t *testing.T, headers frontend.Headers, handle func(conn *net.TCPConn, r *http.Request)) *node {
	t.Helper()
	clk := newTestClock()
	service := &model.Service{Name: serviceName, Slots: 8, Queue: 8}
	n := startNode("a", clk, &ledger{runs: map[string]int{}}, &memberList{headers: headers}, service)
	n.server.crash()
	waitFor(func() bool { return !n.backend.Available() })
	s := &rawServer{handle: handle, listener: listenOn(n.server.address)}
	t.Cleanup(func() {
		n.close()
		s.close()
	})
	s.serving.Go(s.serve)
	waitFor(n.backend.Available)
	clk.healthChecksPaused.Store(true)
	return n
}

func (s *rawServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

func (s *rawServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.serving.Go(func() { s.serveConn(conn.(*net.TCPConn)) })
	}
}

func (s *rawServer) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		s.handle(conn, r)
	}
}

// reset closes a connection so that the peer sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
