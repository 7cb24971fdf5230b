// Package backend is a stand-in for a backend server: it has slots, sheds load,
// starts cold, drains, crashes on a marked request, and keeps a ledger of the
// requests that it ran.
package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
)

// DefaultSlots is the number of requests that a server runs at a time.
const DefaultSlots = 6

// Config is the settings of one server. Zero values select defaults.
type Config struct {
	Name string
	// Address is the host:port to listen on.
	Address string
	Slots   int
	// Latency is the run time of a request that asks for none.
	Latency time.Duration
	// ColdStart is how long the server is not healthy after its start.
	ColdStart time.Duration
	// HealthLag and LoadLag delay what the two pages tell.
	HealthLag, LoadLag time.Duration
	// RestartTime is how long a crashed server refuses connections.
	RestartTime time.Duration
	// OnCrash replaces the restart, for a server that is a process of its own.
	OnCrash func()
	// Ledger counts executions; servers may share one.
	Ledger *Ledger
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	config  Config
	address string
	slots   chan struct{}
	load    *delayedValue[int]
	healthy *delayedValue[bool]

	mu          sync.Mutex
	http        *http.Server
	connections map[net.Conn]struct{}
	slowFactor  float64
	slowUntil   time.Time
	// claim overrides the health page if set.
	claim   Claim
	crashes int
	shed    int
	// down is true from a crash to the restart.
	down     bool
	closed   bool
	restarts sync.WaitGroup
}

// Claim is what the health page says regardless of the truth.
type Claim string

// The claims of the health page.
const (
	ClaimTruth     Claim = ""
	ClaimHealthy   Claim = "healthy"
	ClaimUnhealthy Claim = "unhealthy"
)

// Start listens and serves.
func Start(c Config) (*Server, error) {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	s := &Server{
		config:     c,
		slots:      make(chan struct{}, c.Slots),
		load:       newDelayedValue(0, c.LoadLag),
		healthy:    newDelayedValue(false, c.HealthLag),
		slowFactor: 1,
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, eris.Wrap(err, "backend stand-in")
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	return s, nil
}

// Address returns the host:port of the server.
func (s *Server) Address() string { return s.address }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Ledger returns the executions.
func (s *Server) Ledger() *Ledger { return s.config.Ledger }

// Crashes returns how often the server crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Drain refuses new connections and waits for running requests.
func (s *Server) Drain(ctx context.Context) error {
	s.healthy.set(false)
	return s.stop().Shutdown(ctx)
}

// Close ends the server at once.
func (s *Server) Close() error {
	_ = s.stop().Close() // a restart under way may replace it
	s.restarts.Wait()
	return s.stop().Close()
}

// stop prevents restarts and returns the HTTP server.
func (s *Server) stop() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.http
}

// serve runs one life of the server, from a start to a crash.
func (s *Server) serve(listener net.Listener) {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		ConnState:         s.trackConnection,
	}
	s.mu.Lock()
	s.http = server
	s.down = false
	s.connections = make(map[net.Conn]struct{})
	s.mu.Unlock()
	s.warmUp()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			listener.Close()
		}
	}()
}

// headerTimeout bounds how long a request's headers may take.
const headerTimeout = 10 * time.Second

// warmUp makes the server healthy once the cold start is over.
func (s *Server) warmUp() {
	if s.config.ColdStart == 0 {
		s.healthy.set(true)
		return
	}
	time.AfterFunc(s.config.ColdStart, func() { s.healthy.set(true) })
}

func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.serveHealth)
	r.Get("/load", s.serveLoad)
	r.Route("/admin", s.adminRoutes)
	r.NotFound(s.serveWork)
	r.MethodNotAllowed(s.serveWork)
	return r
}

func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, c)
	}
}
