package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// oddStatuses are status codes that no final response can have.
var oddStatuses = []string{"000", "001", "099", "+12", "1000", "20", "2", "", "2x0", "101", "199", "-20"}

// oddServer is a server, or a gate, whose first response to each path has an odd status.
type oddServer struct {
	mu       sync.Mutex
	arrivals map[string]int
	status   string
}

func (s *oddServer) arrive(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[path]++
	return s.arrivals[path]
}

func (s *oddServer) arrived(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[path]
}

func (s *oddServer) handle(conn *net.TCPConn, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if answerHealthCheck(conn, r) {
		return
	}
	extra := gateHeader(r, model.OutcomeAnswered)
	status, body := "200", "whole"
	if s.arrive(r.URL.Path) == 1 {
		status, body = s.status, "odd!!"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\n%sContent-Length: 5\r\n\r\n%s", status, extra, body)
	if body != "whole" {
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	}
}

// TestOddStatusIsNoResponse guards against a response whose status is no status code and that
// a caller gets as a response, or that leaves the caller without one.
func TestOddStatusIsNoResponse(t *testing.T) {
	for _, from := range []string{"server", "gate"} {
		for _, hedged := range []bool{false, true} {
			for _, status := range oddStatuses {
				t.Run(fmt.Sprintf("%s/hedged=%t/%s", from, hedged, status), func(t *testing.T) {
					t.Parallel()
					server := &oddServer{arrivals: make(map[string]int), status: status}
					m := newRawMesh(t)
					for _, route := range m.tree.Routes {
						if route.Idempotent && hedged {
							route.Hedge = model.Hedge{After: time.Millisecond, BudgetPercent: 100}
						}
					}
					for i := range 2 {
						name, address := fmt.Sprint("gate-", i), startRawServer(t, server.handle).address()
						if from == "server" {
							m.addRealGate(t, name, address)
						} else {
							m.addRawMember(name, address, 0)
						}
					}
					m.start(0)
					m.publish()
					for _, path := range []string{"/read/a", "/write/a"} {
						checkOddStatus(t, m, path, server)
					}
				})
			}
		}
	}
}

// checkOddStatus sends a request and checks that its response is the node's own or a whole one
// of the server.
func checkOddStatus(t *testing.T, m *mesh, path string, server *oddServer) {
	t.Helper()
	conn, err := net.Dial("tcp", m.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", path)
	r := readRaw(conn, http.MethodPost)
	arrivals := server.arrived(path)
	switch {
	case !r.whole:
		t.Errorf("%s: no response: %q", path, r.invalid)
	case r.status == http.StatusOK && r.body == "whole" && path == "/read/a":
	case r.status != http.StatusBadGateway:
		t.Errorf("%s: %d %q", path, r.status, r.body)
	}
	if path == "/write/a" && arrivals != 1 {
		t.Errorf("%s ran %d times", path, arrivals)
	}
}
