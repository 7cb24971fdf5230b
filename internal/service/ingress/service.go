// Package ingress is the service that takes callers' HTTP requests. It checks
// and routes them, has them forwarded, and tells the caller the answer, or
// whether the request ran.
package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// headerTimeout bounds the time in which a caller sends its header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request; beyond it net/http answers
	// 431.
	maxHeaderBytes = 64 << 10
	// idleTimeout closes unused connections of callers.
	idleTimeout = 90 * time.Second
	// refusalTimeout bounds the writing of an answer to a request that is not
	// forwarded.
	refusalTimeout = 10 * time.Second
	// bodyIdleTimeout bounds the time between two pieces of a body.
	bodyIdleTimeout = 15 * time.Second
)

// The partners of the service.
type (
	tableSource interface {
		Table() *kernel.Snapshot[*route.Table]
	}
	forwarder interface {
		Forward(ctx context.Context, q *call.Request) *call.Result
	}
	scopeSource interface {
		Scope() tally.Scope
	}
	freshness interface {
		// Fresh reports whether the process has not been paused since it last
		// synchronised.
		Fresh() bool
	}
	ownServer interface {
		// AwaitDrained returns when no request of other nodes runs on the own
		// server any more; it reports false if the context ended first.
		AwaitDrained(ctx context.Context) bool
	}
)

// Config is what the service needs to know.
type Config struct {
	Self model.Self
	// Listener accepts callers' connections. The service closes it.
	Listener net.Listener
	// Headers is the callers' protocol; nil means frontend.Native.
	Headers frontend.Headers
	// MaxInFlight bounds the requests that are served at a time; 0 means 4096.
	MaxInFlight int64
}

// defaultMaxInFlight bounds the memory that requests hold.
const defaultMaxInFlight = 4096

// Service serves callers.
type Service struct {
	config    Config
	clock     clock.Clock
	log       *slog.Logger
	table     *kernel.Snapshot[*route.Table]
	forwarder forwarder
	watchdog  freshness // nil if the node has none
	gate      ownServer // nil if the node has none
	metrics   metrics
	server    *http.Server
	served    chan error
	idPrefix  string
	lastID    atomic.Uint64
	inFlight  atomic.Int64
	// leaving is true once the node has to leave.
	leaving atomic.Bool
	// longestWaits holds the longest wait of callers by route.
	longestWaits sync.Map // routeKey -> *atomic.Int64
}

// New returns the service.
func New(config Config) *Service {
	const base = 36
	if config.MaxInFlight <= 0 {
		config.MaxInFlight = defaultMaxInFlight
	}
	if config.Headers == nil {
		config.Headers = frontend.Native{}
	}
	return &Service{
		config:   config,
		idPrefix: string(config.Self.ID) + "-" + strconv.FormatUint(uint64(config.Self.Incarnation), base) + "-",
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Ingress }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	routing, err := kernel.Find[tableSource](c, control.Routing)
	if err != nil {
		return err
	}
	s.forwarder, err = kernel.Find[forwarder](c, control.Forward)
	if err != nil {
		return err
	}
	scopes, err := kernel.Find[scopeSource](c, control.Metrics)
	if err != nil {
		return err
	}
	if watchdog, err := kernel.Find[freshness](c, control.Watchdog); err == nil {
		s.watchdog = watchdog
	}
	if gate, err := kernel.Find[ownServer](c, control.Gate); err == nil {
		s.gate = gate
	}
	kernel.Subscribe(c.Loop, s.handlePresenceChanged)
	s.table = routing.Table()
	s.metrics.scope = scopes.Scope().SubScope("ingress")
	s.clock = c.Clock
	s.log = c.Log
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	router := chi.NewRouter()
	router.Handle("/*", http.HandlerFunc(s.serve))
	router.MethodNotAllowed(s.serve) // methods that chi does not know
	router.NotFound(s.serve)         // a target that is not a path
	s.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      refusalTimeout, // forwarded requests set their own
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.served = make(chan error, 1)
	go func() { s.served <- s.server.Serve(s.config.Listener) }()
	return nil
}

func (s *Service) handlePresenceChanged(m control.PresenceChanged) {
	if m.Presence >= model.PresenceLeaving {
		s.leaving.Store(true)
	}
}

// closeAfter has a caller close its connection after the answer if the node has
// to leave: an idle connection that is closed at the end of the drain can meet the
// next request on its way.
func (s *Service) closeAfter(h http.Header) {
	if s.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// Stop implements kernel.Stopper. It closes the listener, tells callers to
// close their connections and waits for the running requests.
func (s *Service) Stop(ctx context.Context) error {
	s.awaitOwnServer(ctx)
	// Shutdown alone: SetKeepAlivesEnabled would close connections whose next
	// request has just been read, and the server would still handle it.
	err := s.server.Shutdown(ctx)
	<-s.served
	return err
}

// stopReserve is the part of the time to stop that is kept for the callers'
// connections.
const stopReserve = 500 * time.Millisecond

// awaitOwnServer waits while the own server runs requests of other nodes, since
// they make calls of their own through this service.
func (s *Service) awaitOwnServer(ctx context.Context) {
	if s.gate == nil {
		return
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-stopReserve))
		defer cancel()
	}
	if !s.gate.AwaitDrained(ctx) {
		s.log.Warn("the own server runs requests at the end of the time to drain; their calls are cut")
	}
}

// idOf returns an ID that no other request in the mesh has: it contains the
// instance and the start time of the process.
func (s *Service) idOf(number uint64) model.RequestID {
	const base = 36
	return model.RequestID(s.idPrefix + strconv.FormatUint(number, base))
}
