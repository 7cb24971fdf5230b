package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// maxEndlessHeader is the maximum number of bytes that a server can send of an
	// endless header: the gate's header limit and the contents of two socket
	// buffers.
	maxEndlessHeader = 16 << 20
	// closeTimeout bounds the time until a server detects that its connection is
	// closed.
	closeTimeout = 2 * time.Second
)

// endlessServer responds with head and then repeats piece until its connection is
// closed.
type endlessServer struct {
	head, piece string
	written     atomic.Int64
	closed      chan struct{}
}

func (s *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	must(err)
	defer close(s.closed)
	defer conn.Close()
	pieces := strings.Repeat(s.piece, 4<<10/len(s.piece))
	_, err = io.WriteString(conn, s.head)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, pieces)
		s.written.Add(int64(n))
	}
}

// awaitClose fails the test unless the server's connection is closed within
// closeTimeout.
func (s *endlessServer) awaitClose(t *testing.T) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(closeTimeout):
		t.Fatalf("the server is still sending, %d bytes so far", s.written.Load())
	}
}

func startEndlessServer(t *testing.T, head, piece string) (*testClock, *node, *endlessServer) {
	t.Helper()
	clk := newTestClock()
	n := startNode("a", clk, &ledger{runs: map[string]int{}}, &memberList{}, &model.Service{Name: serviceName, Slots: 1, Queue: 2})
	t.Cleanup(func() {
		waitFor(func() bool { return n.gate.Stats().InFlight == 0 })
		n.close()
	})
	server := &endlessServer{head: head, piece: piece, closed: make(chan struct{})}
	n.server.crash()
	waitFor(func() bool { return !n.backend.Available() })
	listener := listenOn(n.server.address)
	served := &http.Server{Handler: server}
	go func() { _ = served.Serve(listener) }()
	t.Cleanup(func() { served.Close() })
	waitFor(n.backend.Available)
	clk.healthChecksPaused.Store(true)
	return clk, n, server
}

// sendTo sends a request with a timeout of one second to a gate.
func sendTo(t *testing.T, ctx context.Context, n *node, method string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.address+"/units", nil)
	must(err)
	hop.Request{
		ID: "r1", Service: serviceName, Class: model.ClassShort,
		Idempotent: method == http.MethodGet, Attempt: 1, Timeout: time.Second,
	}.Encode(r.Header)
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

// TestEndlessHeaderIsAborted guards against a server that sends invalid bytes or an
// endless header: the gate must close the connection and respond with status 502.
func TestEndlessHeaderIsAborted(t *testing.T) {
	for name, test := range map[string]struct{ head, piece string }{
		"one line":    {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"many lines":  {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim":     {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		"not HTTP":    {"", "\x00\xff\x16\x03"},
		"status line": {"HTTP/1.1 200 ", "OK "},
	} {
		t.Run(name, func(t *testing.T) {
			_, n, server := startEndlessServer(t, test.head, test.piece)
			response, err := sendTo(t, t.Context(), n, http.MethodGet)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusBadGateway {
				t.Errorf("status %s", response.Status)
			}
			server.awaitClose(t)
			if written := server.written.Load(); written > maxEndlessHeader {
				t.Errorf("the server sent %d bytes before its connection was closed", written)
			}
		})
	}
}

// TestEndlessBodyIsNeverComplete guards against a server whose body does not end:
// the caller must not see a complete response, and the server's connection must be
// closed at the deadline, or when the caller of an idempotent request disconnects.
func TestEndlessBodyIsNeverComplete(t *testing.T) {
	const closing = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		head, piece, method string
		leave               bool
	}{
		"no length":              {closing, "a", http.MethodGet, false},
		"chunks":                 {chunked, "4\r\nabcd\r\n", http.MethodGet, false},
		"chunk header":           {chunked, "0", http.MethodGet, false},
		"no length, caller gone": {closing, "a", http.MethodGet, true},
		"POST":                   {closing, "a", http.MethodPost, false},
		"POST, caller gone":      {chunked, "4\r\nabcd\r\n", http.MethodPost, true},
	} {
		t.Run(name, func(t *testing.T) {
			clk, n, server := startEndlessServer(t, test.head, test.piece)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			response, err := sendTo(t, ctx, n, test.method)
			if err != nil {
				server.awaitClose(t)
				return // aborted before the header was relayed
			}
			defer response.Body.Close()
			read := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, response.Body)
				read <- err
			}()
			if test.leave {
				cancel()
			}
			if !test.leave || test.method == http.MethodPost {
				clk.fake.Advance(time.Second) // the deadline
			}
			server.awaitClose(t)
			if err := <-read; err == nil {
				t.Error("an endless body was reported as complete")
			}
		})
	}
}
