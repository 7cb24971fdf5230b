// Package gate controls access to a node's backend server: all requests to the
// server pass through it. It accepts forwarded requests, decides whether and when
// they run, runs them on the server and reports for each whether it was answered,
// did not run or may have run.
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
	"github.com/galenalever/galenalever/internal/decision/drain"
	"github.com/galenalever/galenalever/internal/decision/onewaydelay"
	"github.com/galenalever/galenalever/internal/decision/warmup"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/httpserver"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
	"github.com/galenalever/galenalever/internal/timeline"
	"github.com/galenalever/galenalever/internal/wire"
)

// Config configures the service.
type Config struct {
	Self model.Self
	// Listener accepts requests from other nodes. The service closes it.
	Listener net.Listener
	// Timestamps is the logical clock that is advanced by the timestamps of requests
	// and whose time the responses carry; nil means that they carry none.
	Timestamps *timeline.Clock
	// Headers is the header protocol of the backend server; nil means
	// frontend.Native.
	Headers frontend.Headers
	// KeepLate sets admission.Limits.KeepLate, for experiments.
	KeepLate bool
	// ServeLeaving is how long the gate of a node that shuts down still accepts
	// requests from other nodes, as the backend server may outlive the node; 0 means
	// that it refuses them immediately.
	ServeLeaving time.Duration
	// Bandwidth is the bandwidth of the node's link in bits per second; 0 means no limit.
	Bandwidth float64
	// RememberFor is how long finished requests are remembered; 0 means 10 minutes.
	RememberFor time.Duration
	// Warmup states what the mesh tolerates at cold servers.
	Warmup warmup.Bounds
}

// Service implements the kernel's service "gate". It is an http.Handler, so that a
// caller's node in the same process can call it without a connection.
type Service struct {
	self         model.Self
	listener     net.Listener
	listening    net.Listener // listener, charged to an account
	timestamps   *timeline.Clock
	headers      frontend.Headers
	keepLate     bool
	serveLeaving time.Duration
	// ownHost is the host of the node's traffic address. transfers decides when the
	// bodies of calls are received over the link.
	ownHost    string
	bandwidth  float64
	transfers  *transfers
	deps       dependencies
	peers      *peerClient
	peerServer http.Handler
	http       *http.Server
	serveDone  chan struct{}
	clock      clock.Clock
	log        *slog.Logger
	// leaveScheduled is true once the node is to leave, leaving once the gate
	// refuses requests.
	leaveScheduled, leaving atomic.Bool
	// leaveScheduledAt is when leaveScheduled was set; nil before.
	leaveScheduledAt atomic.Pointer[time.Time]
	// drainPlan is the schedule of the shutdown; nil before it begins.
	drainPlan atomic.Pointer[drain.Plan]
	// ended ends when all calls must have ended; endCalls ends it.
	ended    context.Context
	endCalls context.CancelFunc
	// withdrawn is true while the platform lists this node's backend server as
	// leaving; the gate itself stays. It is written while mu is held. listedSlots is the
	// number of slots in the platform's listing, 0 if it names none.
	withdrawn   atomic.Bool
	listedSlots atomic.Int64
	// listed is the platform's listing of the backend server, and gone the last one whose ID the
	// server rejected as a target.
	listed, gone      atomic.Pointer[serverListing]
	counters          *counters
	evacuation        evacuation
	bufferedBytes     atomic.Int64 // total size of the bodies buffered by bufferBody
	lastOverloadEvent atomic.Int64 // Unix time in ns

	mu            sync.Mutex
	tickets       admission.Ticket
	admission     *admission.State
	memory        *dedupe.Memory
	slotWaiters   map[admission.Ticket]chan admission.Decision
	repeatWaiters map[dedupe.Waiter]chan dedupe.Decision
	abandoned     abandoned
	warming       warming

	// start is when the process began; one-way delays are measured from it.
	start            time.Time
	delayEstimatorMu sync.Mutex
	delayEstimator   onewaydelay.Estimator

	// The fields below belong to the exchange of idempotency records; see
	// records.go. recordsKnown is true once requests with idempotency keys may run.
	// refreshed triggers fetching the records of all peers, and newMembers queues
	// the members to exchange records with.
	recordsKnown atomic.Bool
	refreshed    chan struct{}
	newMembers   chan model.Member
	knownMembers map[model.InstanceID]model.Incarnation // used only on the control loop

	// activeCalls counts the running and queued requests. idle is closed when it
	// reaches 0 while the gate is leaving; refusingSince is when the gate began to refuse calls.
	activeCalls   int
	idle          chan struct{}
	refusingSince time.Time
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
		self:          c.Self,
		listener:      c.Listener,
		timestamps:    c.Timestamps,
		headers:       c.Headers,
		keepLate:      c.KeepLate,
		serveLeaving:  c.ServeLeaving,
		bandwidth:     c.Bandwidth,
		serveDone:     make(chan struct{}),
		admission:     admission.New(admission.Limits{}),
		memory:        dedupe.New(bounds),
		slotWaiters:   make(map[admission.Ticket]chan admission.Decision),
		repeatWaiters: make(map[dedupe.Waiter]chan dedupe.Decision),
		idle:          make(chan struct{}),
		warming:       warming{bounds: c.Warmup, checkDue: make(chan struct{}, 1)},

		refreshed:    make(chan struct{}, 1),
		newMembers:   make(chan model.Member, maxNewMembers),
		knownMembers: make(map[model.InstanceID]model.Incarnation),
	}
	s.ended, s.endCalls = context.WithCancel(context.Background())
	s.peers = newPeerClient()
	s.peerServer = occupancy.CloseAfterErrors(occupancy.ChargeBodies(wire.NewGateServer(gateServer{gate: s})))
	s.http = newServer(s)
	return s
}

// memoryBounds limits the memory of finished and running requests.
var memoryBounds = dedupe.Bounds{
	Window:      10 * time.Minute,
	Entries:     32768,
	AnswerBytes: 8 << 20,
	Waiters:     4,
}

const bitsPerByte = 8

const (
	headerTimeout      = 5 * time.Second
	idleTimeout        = 90 * time.Second
	maxRequestDuration = time.Hour
	maxHeaderBytes     = 64 << 10
	maxRequestBytes    = 1 << 30 // of a request body
)

func newServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       maxRequestDuration,
		WriteTimeout:      maxRequestDuration,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	httpserver.CloseUnusedOnShutdown(server)
	return server
}

// Name implements kernel.Service.
func (s *Service) Name() string { return control.Gate }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.log, s.start = c.Clock, c.Log, c.Clock.Now()
	s.ownHost, _, _ = net.SplitHostPort(s.self.Addresses.Traffic) // without one, no caller is local
	s.listening = s.listener
	s.http.ErrorLog = slog.NewLogLogger(c.Log.Handler(), slog.LevelDebug)
	var err error
	if s.deps, err = findDependencies(c); err != nil {
		return err
	}
	if s.deps.accounts != nil {
		s.listening = s.deps.accounts.Account(control.Gate).Guard(s.http, s.listener)
	}
	s.counters = newCounters(s.deps.metrics.Scope())
	s.transfers = newTransfers(s.bandwidth/bitsPerByte, c.Clock, s.deps.metrics.Scope())
	s.warming.provision(s.start, s.deps.metrics.Scope())
	if s.deps.statusPage != nil {
		s.deps.statusPage.AddStatus(control.Gate, func() any { return s.Stats() })
		s.deps.statusPage.AddReadiness(control.Gate, s.ready)
	}
	kernel.Subscribe(c.Loop, s.handleConfigurationChanged)
	kernel.Subscribe(c.Loop, s.handleDrainStarted)
	kernel.Subscribe(c.Loop, s.handlePresenceChanged)
	kernel.Subscribe(c.Loop, s.handleMembersChanged)
	kernel.Subscribe(c.Loop, s.handleRefreshed)
	kernel.Subscribe(c.Loop, s.handleServerObserved)
	s.configure()
	s.watchEvacuation(c)
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go s.watchServer(ctx)
	go s.checkWhenDue(ctx)
	go s.exchangeRecords(ctx)
	go func() {
		defer close(s.serveDone)
		if err := s.http.Serve(s.listening); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("traffic listener failed", "error", err)
		}
	}()
	return nil
}

func (s *Service) handleConfigurationChanged(control.ConfigurationChanged) { s.configure() }

func (s *Service) handlePresenceChanged(m control.PresenceChanged) {
	if m.Presence >= model.PresenceLeaving {
		s.scheduleLeave()
	}
}

// configure applies the limits of the service from the running configuration. The
// platform's number of slots for this server, if it names one, takes precedence.
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
	limits.LongSlots = streamSlots(limits)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.configureWarmup(service, now)
	s.deliver(s.admission.Configure(limits, now))
}

// service returns the declaration of the service of this instance, or nil if the
// running configuration has none.
func (s *Service) service() *model.Service {
	c := s.deps.config.Configuration().Load()
	if c == nil || c.Tree == nil {
		return nil
	}
	return c.Tree.Services[s.self.Service]
}
