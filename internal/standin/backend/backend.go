// Package backend simulates a backend server. It runs a limited number of
// requests at a time and sheds the rest, becomes healthy after a cold start,
// drains, crashes on a marked request, and counts the executions of each request.
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
	// Name is the server name in responses.
	Name string
	// Address is the host:port to listen on.
	Address string
	// Slots is the number of requests that run at a time.
	Slots int
	// Latency is the run time of a request without ParamRun.
	Latency time.Duration
	// ColdStart is how long the server is not healthy after each start or restart.
	ColdStart time.Duration
	// HealthLag and LoadLag delay the values on the health and load pages.
	HealthLag, LoadLag time.Duration
	// RestartTime is how long a crashed server refuses connections.
	RestartTime time.Duration
	// Warmup is how long the server is cold after a restart: it is slower, states the rest
	// of the time in its health responses, and crashes when it receives more than
	// WarmupBound requests in a second. A WarmupBound of 0 means that it does not crash.
	Warmup      time.Duration
	WarmupBound int
	// OnCrash, if not nil, is called instead of the simulated crash and restart. A
	// server that runs in its own process can exit in it.
	OnCrash func()
	// Ledger counts executions; servers may share one. If nil, the server has its own.
	Ledger *Ledger
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	config  Config
	address string
	slots   chan struct{}
	load    *delayedValue[int]
	healthy *delayedValue[bool]

	mu             sync.Mutex
	http           *http.Server
	connections    map[net.Conn]struct{}
	slowFactor     float64
	slowUntil      time.Time
	healthOverride HealthOverride
	crashes        int
	cold           coldState
	shed           int
	// down is true from a crash to the restart.
	down     bool
	closed   bool
	restarts sync.WaitGroup
}

// HealthOverride is what the health page reports regardless of the actual state.
type HealthOverride string

// The overrides of the health page. HealthOverrideNone reports the actual state.
const (
	HealthOverrideNone      HealthOverride = ""
	HealthOverrideHealthy   HealthOverride = "healthy"
	HealthOverrideUnhealthy HealthOverride = "unhealthy"
)

// Start listens on the configured address and serves in the background.
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
		return nil, eris.Wrap(err, "starting the backend server")
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	return s, nil
}

// Address returns the host:port of the server.
func (s *Server) Address() string { return s.address }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Ledger returns the counts of executions.
func (s *Server) Ledger() *Ledger { return s.config.Ledger }

// Crashes returns how often the server crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Drain refuses new connections and returns once the running requests have
// ended. It returns an error if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.healthy.set(false)
	return s.stop().Shutdown(ctx)
}

// Close stops the server without waiting for running requests.
func (s *Server) Close() error {
	_ = s.stop().Close() // a restart in progress may replace the HTTP server
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

// serve starts an HTTP server on the listener. Each restart after a crash calls
// it again.
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
	s.coolAfterRestart()
	s.mu.Unlock()
	s.warmUp()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			listener.Close()
		}
	}()
}

// headerTimeout bounds the time to receive the headers of a request.
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
	r.NotFound(s.serveRequest)
	r.MethodNotAllowed(s.serveRequest)
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
