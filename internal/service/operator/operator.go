// Package operator provides the service that runs the HTTP listener for operators. It
// serves the status, members, subtree, liveness and readiness pages and those that
// other services add.
package operator

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/httpserver"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
	"github.com/galenalever/galenalever/internal/status"
)

// The limits of the listener. writeTimeout also limits the duration of a CPU profile;
// maxRequests is the number of concurrent requests.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 60 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	maxRequests    = 32
)

// Config configures the service.
type Config struct {
	Listener net.Listener
	Self     model.Self
	// Profiling adds the pages of net/http/pprof.
	Profiling bool
}

// Service serves the pages for operators.
type Service struct {
	config  Config
	router  *chi.Mux
	server  *http.Server
	clock   clock.Clock
	loop    *kernel.Loop
	log     *slog.Logger
	started time.Time
	// configuration and members are nil if the node has no such service.
	configuration configurationSource
	members       memberSource
	account       *occupancy.Account // nil if the node has none

	mu        sync.Mutex // guards sections and readiness
	sections  map[string]func() any
	readiness map[string]func() error
}

// Interfaces of the dependencies that the service finds by name.
type (
	configurationSource interface {
		Configuration() *kernel.Snapshot[*model.Configuration]
	}
	accounts interface {
		Account(service string) *occupancy.Account
	}
	memberSource interface {
		View() *kernel.Snapshot[*members.View]
	}
)

// New returns the service. Pages, sections and conditions can be added before it is
// started.
func New(c Config) *Service {
	s := &Service{
		config:    c,
		router:    chi.NewRouter(),
		sections:  make(map[string]func() any),
		readiness: make(map[string]func() error),
	}
	s.router.Use(throttle, middleware.Recoverer)
	s.router.Get(status.PathStatus, s.serveStatus)
	s.router.Get(status.PathMembers, s.serveMembers)
	s.router.Get(status.PathHealth, serveHealth)
	s.router.Get(status.PathReady, s.serveReady)
	if c.Profiling {
		s.addProfiling()
	}
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Operator }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.loop, s.log = c.Clock, c.Loop, c.Log
	s.started = c.Clock.Now()
	if source, err := kernel.Find[configurationSource](c, control.Config); err == nil {
		s.configuration = source
	}
	if source, err := kernel.Find[memberSource](c, control.Membership); err == nil {
		s.members = source
	}
	if accounts, err := kernel.Find[accounts](c, control.Resources); err == nil {
		s.account = accounts.Account(control.Operator)
	}
	s.Handle(status.PathSubtree, http.HandlerFunc(s.serveSubtree))
	return nil
}

// AddStatus adds a section to the status page. The function is called by
// traffic goroutines, so it must read only snapshots and atomic values; its result
// is encoded as JSON. Other services call AddStatus during Provision.
func (s *Service) AddStatus(section string, f func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[section] = f
}

// AddReadiness adds a condition to the readiness page; an error means that the
// node is not ready. Like the functions of AddStatus, f is called by traffic
// goroutines. Other services call AddReadiness during Provision.
func (s *Service) AddReadiness(name string, f func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readiness[name] = f
}

// Handle adds a page for GET requests. Other services call Handle during Provision.
func (s *Service) Handle(pattern string, h http.Handler) {
	s.router.Method(http.MethodGet, pattern, h)
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.server = &http.Server{
		Handler:           s.router,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	httpserver.CloseUnusedOnShutdown(s.server)
	go s.serve(s.account.Guard(s.server, s.config.Listener))
	return nil
}

func (s *Service) serve(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("operator listener failed", "error", err)
	}
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return s.server.Close()
	}
	return nil
}

func (s *Service) addProfiling() {
	s.router.HandleFunc("/debug/pprof/*", pprof.Index)
	s.router.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	s.router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	s.router.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	s.router.HandleFunc("/debug/pprof/trace", pprof.Trace)
}
