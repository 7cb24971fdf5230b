// Package ingress is the service that accepts callers' HTTP requests. It validates
// and routes them and passes them to the forward service. A caller gets the server's
// response, or a refusal that states whether the request was run.
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
	"github.com/galenalever/galenalever/internal/decision/drain"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/httpserver"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
)

const (
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header. net/http responds to a
	// larger one with status 431.
	maxHeaderBytes = 64 << 10
	// idleTimeout is the time after which idle connections of callers are closed.
	idleTimeout = 90 * time.Second
	// refusalTimeout bounds the writing of the response to a request that is not
	// forwarded.
	refusalTimeout = 10 * time.Second
	// bodyIdleTimeout bounds each read of a request's body.
	bodyIdleTimeout = 15 * time.Second
)

// The services that ingress depends on.
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
		// Fresh reports whether the node has synchronised since its start and since its
		// last pause.
		Fresh() bool
	}
	coldServers interface {
		// AnyCold reports whether a server of the destination is cold, as the platform
		// lists it.
		AnyCold(d *route.Destination) bool
	}
	accounts interface {
		// Account returns the account of what the connections of a listener occupy.
		Account(service string) *occupancy.Account
	}
	uplink interface {
		// Leaves reports whether what is sent to the address uses the node's link.
		Leaves(address string) bool
		// Pace waits until the link has room for the next bytes of a body, at most until
		// the deadline.
		Pace(ctx context.Context, bytes, priority int, deadline time.Time)
	}
	localGate interface {
		// AwaitDrained waits until no request of other nodes runs on this node's
		// server. It reports false if the context ended first.
		AwaitDrained(ctx context.Context) bool
	}
)

// Config configures the service.
type Config struct {
	Self model.Self
	// Listener accepts callers' connections. Stop closes it.
	Listener net.Listener
	// Headers reads and writes the headers of the callers' protocol; nil means
	// frontend.Native.
	Headers frontend.Headers
	// MaxInFlight bounds the requests that are served concurrently; 0 means 4096.
	MaxInFlight int64
}

// defaultMaxInFlight bounds the memory that concurrent requests use.
const defaultMaxInFlight = 4096

// Service accepts and serves callers' requests.
type Service struct {
	config    Config
	clock     clock.Clock
	log       *slog.Logger
	table     *kernel.Snapshot[*route.Table]
	forwarder forwarder
	watchdog  freshness          // nil if the node has none
	gate      localGate          // nil if the node has none
	balancer  coldServers        // nil if the node has none
	account   *occupancy.Account // nil if the node has none
	uplink    uplink             // nil if the node has none
	calls     callObserver       // nil if the node has none
	metrics   metrics
	server    *http.Server
	// listener is that of the configuration, charged to the account.
	listener net.Listener
	served   chan error
	idPrefix string
	lastID   atomic.Uint64
	inFlight inFlight
	// unused tracks the connections on which no request has arrived yet.
	unused *httpserver.Unused
	// closing is true once the listener is closed and requests on open connections are
	// refused.
	closing atomic.Bool
	// leavingSince is when this node's presence became leaving; nil before.
	leavingSince atomic.Pointer[time.Time]
	// drainPlan is the schedule of the shutdown; nil before it begins.
	drainPlan atomic.Pointer[drain.Plan]
	// ended ends when all requests must have ended; endRequests ends it.
	ended       context.Context
	endRequests context.CancelFunc
	// start is when the process began; longestServed counts from it.
	start         time.Time
	longestServed longestServed
	// longestTimeouts holds the longest timeout that a caller has set, by route.
	longestTimeouts sync.Map // routeKey -> *atomic.Int64
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
	ended, endRequests := context.WithCancel(context.Background())
	return &Service{
		ended:       ended,
		endRequests: endRequests,
		config:      config,
		idPrefix:    string(config.Self.ID) + "-" + strconv.FormatUint(uint64(config.Self.Incarnation), base) + "-",
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
	if gate, err := kernel.Find[localGate](c, control.Gate); err == nil {
		s.gate = gate
	}
	if servers, err := kernel.Find[coldServers](c, control.Balancer); err == nil {
		s.balancer = servers
	}
	if accounts, err := kernel.Find[accounts](c, control.Resources); err == nil {
		s.account = accounts.Account(control.Ingress)
	}
	if uplink, err := kernel.Find[uplink](c, control.Uplink); err == nil {
		s.uplink = uplink
	}
	if calls, err := kernel.Find[callObserver](c, control.Dependencies); err == nil {
		s.calls = calls
	}
	kernel.Subscribe(c.Loop, s.handleDrainStarted)
	kernel.Subscribe(c.Loop, s.handlePresenceChanged)
	s.provideWhere(c)
	s.table = routing.Table()
	s.metrics.scope = scopes.Scope().SubScope("ingress")
	s.clock, s.start = c.Clock, c.Clock.Now()
	s.log = c.Log
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	router := chi.NewRouter()
	router.Handle("/*", http.HandlerFunc(s.serve))
	router.MethodNotAllowed(s.serve) // methods unknown to chi
	router.NotFound(s.serve)         // a request target that is not a path
	s.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      refusalTimeout, // forwarded requests set their own deadline
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.unused = httpserver.CloseUnusedOnShutdown(s.server)
	s.listener = s.account.Guard(s.server, s.config.Listener)
	s.served = make(chan error, 1)
	go func() { s.served <- s.server.Serve(s.listener) }()
	return nil
}

func (s *Service) handleDrainStarted(m control.DrainStarted) {
	s.drainPlan.Store(&m.Plan)
	s.clock.AfterFunc(m.Plan.End.Sub(s.clock.Now()), s.endRequests)
}

func (s *Service) handlePresenceChanged(m control.PresenceChanged) {
	if m.Presence >= model.PresenceLeaving {
		now := s.clock.Now()
		s.leavingSince.CompareAndSwap(nil, &now)
	}
}

// closeIfLeaving asks the caller to close its connection after the response if the
// node is leaving. A connection that is still idle when the drain ends could be closed
// while the caller's next request is in transit.
func (s *Service) closeIfLeaving(h http.Header) {
	if s.leavingSince.Load() != nil || s.closing.Load() {
		h.Set("Connection", "close")
	}
}

// newRequestID returns an ID that is unique in the mesh: it contains the instance ID,
// the incarnation (start time) of the process and the number of the request.
func (s *Service) newRequestID(number uint64) model.RequestID {
	const base = 36
	return model.RequestID(s.idPrefix + strconv.FormatUint(number, base))
}
