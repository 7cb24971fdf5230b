// Package gate is the only way to the backend server beside a node. It takes
// forwarded requests, decides whether and when they run, runs them on the server
// and says of each whether it was answered, did not run or may have run.
package gate

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/admission"
	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/decision/transit"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
	"github.com/galenalever/galenalever/internal/wire"
)

// Config configures the service.
type Config struct {
	Self model.Self
	// Listener takes requests from other nodes. The service closes it.
	Listener net.Listener
	// Timestamps marks the answers for the time line; nil leaves them unmarked.
	Timestamps *timeline.Clock
	// Headers is the server's protocol; nil means frontend.Native.
	Headers frontend.Headers
	// KeepLate is admission.Limits.KeepLate, for experiments.
	KeepLate bool
	// ServeLeaving is how long a gate that has to leave goes on taking requests,
	// while its node sends its own callers elsewhere: the server beside it may
	// stay.
	ServeLeaving time.Duration
	// RememberFor is how long finished requests are remembered; 0 means 10
	// minutes.
	RememberFor time.Duration
}

// Service implements the kernel's service "gate". It is an http.Handler, so that
// a caller's node in the same process needs no connection.
type Service struct {
	self         model.Self
	listener     net.Listener
	timestamps   *timeline.Clock
	headers      frontend.Headers
	keepLate     bool
	serveLeaving time.Duration
	partners     partners
	peers        *peerClient
	peerServer   http.Handler
	http         *http.Server
	closed       chan struct{}
	clock        clock.Clock
	log          *slog.Logger
	// departing is true once the node has to leave; the gate is leaving from the
	// moment at which it refuses requests.
	departing, leaving atomic.Bool
	// withdrawn is true while the platform has the own server leave; the gate
	// itself goes on. listedSlots is 0 while the list names no slots.
	withdrawn   atomic.Bool
	listedSlots atomic.Int64
	// current is the ID under which the platform lists the own server, gone one
	// under which it no longer answers; both hold a model.InstanceID.
	current, gone atomic.Value
	counters      *counters
	heldBytes     atomic.Int64 // of the bodies that wait with their calls
	overload      atomic.Int64 // time of the last event about overload, in ns

	mu        sync.Mutex
	tickets   admission.Ticket
	admission *admission.State
	memory    *dedupe.Memory
	queued    map[admission.Ticket]chan admission.Decision
	repeats   map[dedupe.Waiter]chan dedupe.Decision
	abandoned abandoned

	// start is when the process began; delays are measured from it.
	start    time.Time
	delaysMu sync.Mutex
	delays   transit.Delays

	// Records of idempotency keys; see records.go.
	recordsKnown atomic.Bool
	refreshed    chan struct{}
	joined       chan model.Member
	met          map[model.InstanceID]model.Incarnation // control state

	// working counts the requests that run or are queued; idle is closed when
	// there is none while the gate is leaving, which began at leftAt.
	working int
	idle    chan struct{}
	leftAt  time.Time
}

// New returns a gate that is not yet listening.
func New(c Config) *Service {
	if c.Headers == nil {
		c.Headers = frontend.Native{}
	}
	bounds := memoryBounds
	if c.RememberFor > 0 {
		bounds.Window = c.RememberFor
	}
	s := &Service{
		self:         c.Self,
		listener:     c.Listener,
		timestamps:   c.Timestamps,
		headers:      c.Headers,
		keepLate:     c.KeepLate,
		serveLeaving: c.ServeLeaving,
		closed:       make(chan struct{}),
		admission:    admission.New(admission.Limits{}),
		memory:       dedupe.New(bounds),
		queued:       make(map[admission.Ticket]chan admission.Decision),
		repeats:      make(map[dedupe.Waiter]chan dedupe.Decision),
		idle:         make(chan struct{}),

		refreshed: make(chan struct{}, 1),
		joined:    make(chan model.Member, joinedCapacity),
		met:       make(map[model.InstanceID]model.Incarnation),
	}
	s.peers = newPeerClient()
	s.peerServer = wire.NewGateServer(keeper{gate: s})
	s.http = newServer(s)
	return s
}

// memoryBounds limit what the gate remembers of requests.
var memoryBounds = dedupe.Bounds{
	Window:      10 * time.Minute,
	Entries:     32768,
	AnswerBytes: 8 << 20,
	Waiters:     4,
}

const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 90 * time.Second
	longestRequest  = time.Hour
	maxHeaderBytes  = 64 << 10
	maxRequestBytes = 1 << 30
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       longestRequest,
		WriteTimeout:      longestRequest,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return control.Gate }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.log, s.start = c.Clock, c.Log, c.Clock.Now()
	s.http.ErrorLog = slog.NewLogLogger(c.Log.Handler(), slog.LevelDebug)
	var err error
	if s.partners, err = findPartners(c); err != nil {
		return err
	}
	s.counters = newCounters(s.partners.metrics.Scope())
	if s.partners.page != nil {
		s.partners.page.AddStatus(control.Gate, func() any { return s.Stats() })
		s.partners.page.AddReadiness(control.Gate, s.ready)
	}
	kernel.Subscribe(c.Loop, s.handleConfigurationChanged)
	kernel.Subscribe(c.Loop, s.handlePresenceChanged)
	kernel.Subscribe(c.Loop, s.handleMembersChanged)
	kernel.Subscribe(c.Loop, s.handleRefreshed)
	s.configure()
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go s.watchServer(ctx)
	go s.exchangeRecords(ctx)
	go func() {
		defer close(s.closed)
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("traffic listener failed", "error", err)
		}
	}()
	return nil
}

func (s *Service) handleConfigurationChanged(control.ConfigurationChanged) { s.configure() }

func (s *Service) handlePresenceChanged(m control.PresenceChanged) {
	if m.Presence >= model.PresenceLeaving {
		s.depart()
	}
}

// configure takes the limits of the service from the running configuration.
func (s *Service) configure() {
	service := s.service()
	if service == nil {
		return
	}
	limits := admission.Limits{Slots: service.Slots, LongSlots: service.LongSlots, Queue: service.Queue, KeepLate: s.keepLate}
	if listed := int(s.listedSlots.Load()); listed > 0 {
		limits.Slots = listed
		limits.LongSlots = min(limits.LongSlots, listed)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.admission.Configure(limits, s.clock.Now()))
}

// service returns the declaration of this server's service, or nil.
func (s *Service) service() *model.Service {
	c := s.partners.config.Configuration().Load()
	if c == nil || c.Tree == nil {
		return nil
	}
	return c.Tree.Services[s.self.Service]
}
