package ingress_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/backend"
	"github.com/galenalever/galenalever/internal/service/gate"
	"github.com/galenalever/galenalever/internal/service/quarantine"
)

// rawServer is a server that answers by writing bytes to the connection.
type rawServer struct {
	listener net.Listener
	handle   func(conn *net.TCPConn, r *http.Request)
	serving  sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

func startRawServer(t *testing.T, handle func(conn *net.TCPConn, r *http.Request)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener, handle: handle}
	s.serving.Go(s.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for _, conn := range s.conns {
			_ = conn.Close()
		}
		s.mu.Unlock()
		s.serving.Wait()
	})
	return s
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func (s *rawServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.serving.Go(func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				s.handle(conn.(*net.TCPConn), r)
			}
		})
	}
}

// answerHealthCheck answers a health check and reports whether the request is one.
func answerHealthCheck(conn *net.TCPConn, r *http.Request) bool {
	if r.URL.Path != "/healthz" {
		return false
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = conn.Close()
	return true
}

// gateHeader returns the header line that makes a response that of a gate, if the request comes
// from a node, or else an empty text.
func gateHeader(r *http.Request, outcome model.Outcome) string {
	request, ok := hop.DecodeRequest(r.Header)
	if !ok {
		return ""
	}
	response := hop.Response{ID: request.ID, Outcome: outcome, Incarnation: request.Incarnation}
	if outcome != model.OutcomeAnswered {
		response.Reason = model.ReasonBrokenAnswer
	}
	h := make(http.Header)
	response.Encode(h)
	return hop.HeaderResponse + ": " + h.Get(hop.HeaderResponse) + "\r\n"
}

const rawService = model.ServiceName("shop/raw")

// newRawMesh returns a caller's node in real time, with two routes to one service:
// repeats are allowed below /read/ only. Routes with "silent" have a short deadline.
func newRawMesh(t *testing.T) *mesh {
	m := newMesh(t)
	m.clock = clock.System{}
	m.tree.Services[rawService] = &model.Service{Name: rawService, Slots: 64, Queue: 256}
	for prefix, deadline := range map[string]time.Duration{"": 10 * time.Second, "/silent": 400 * time.Millisecond} {
		for _, path := range []string{"/read/", "/write/"} {
			m.tree.Routes = append(m.tree.Routes, &model.Route{
				Team: "shop", Name: "raw" + prefix + path, PathPrefix: prefix + path, Service: rawService,
				Idempotent: path == "/read/", Class: model.ClassShort, Deadline: deadline,
				Retry: model.Retry{Attempts: 3, BudgetPercent: 100},
			})
		}
	}
	return m
}

// addRawMember adds a gate to the members. Without an incarnation it is known from the
// platform's listing only, and is not asked about requests of unknown outcome.
func (m *mesh) addRawMember(name, address string, incarnation model.Incarnation) model.Self {
	self := model.Self{ID: model.InstanceID(name), Service: rawService, Domain: "jkt", Incarnation: incarnation, Addresses: model.Addresses{Traffic: address}}
	m.membership.members = append(m.membership.members, self.Member(model.PresenceReady))
	return self
}

// addRealGate starts the gate of a server and adds it to the members.
func (m *mesh) addRealGate(t *testing.T, name, server string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := m.addRawMember(name, listener.Addr().String(), 0)
	suspects := quarantine.New(quarantine.Config{Self: self})
	guarded := backend.New(backend.Config{URL: "http://" + server, HealthPath: "/healthz", HealthInterval: time.Second})
	config := &fakeConfig{snapshot: kernel.NewSnapshot(&model.Configuration{Tree: m.tree})}
	k := kernel.New(clock.System{}, slog.New(slog.DiscardHandler))
	err = k.Register(
		&fakeTimeline{}, &fakeMetrics{scope: tally.NewTestScope("", nil)}, &fakeWatchdog{}, &fakeMembership{}, config,
		guarded, suspects, gate.New(gate.Config{Self: self, Listener: listener}),
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = k.Stop(ctx)
	})
	if err := k.Loop().Post(context.Background(), control.Refreshed{}); err != nil {
		t.Fatal(err)
	}
	for !suspects.Prepared() || !guarded.Available() {
		time.Sleep(time.Millisecond)
	}
}
