// Package exchange is the service that replicates configuration and membership
// between nodes: it long-polls an upstream, serves the polls of other nodes,
// periodically compares its state with that of other nodes, and announces member
// changes to the nodes that read the platform.
package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
	"github.com/galenalever/galenalever/internal/timeline"
	"github.com/galenalever/galenalever/internal/wire"
)

// Config configures the service.
type Config struct {
	Self model.Self
	// Listener accepts connections from other nodes. It may be nil in a test
	// without a network, which calls the methods of the service directly.
	Listener net.Listener
	// Dial returns a client for the node at a control address; nil selects HTTP.
	Dial func(address string) wire.Exchange
	// Seeds are the control addresses of nodes from which a new process bootstraps.
	Seeds []string
	// BootstrapFor is how long a new process tries to bootstrap from other nodes
	// before it reads the platform itself.
	BootstrapFor time.Duration
	// RandomSeed makes jitter and random choices differ between processes.
	RandomSeed uint64
	// Direct is true if the platform lists backend servers under IDs that their nodes
	// do not know. Nodes then find each other by address, and the service sends no
	// announcements.
	Direct bool
	// Bandwidth is the bandwidth of the node's link in bits per second; 0 means no
	// limit.
	Bandwidth float64
	// PollTimes defaults to DefaultPollTimes if it is zero.
	PollTimes PollTimes
}

// PollTimes are the durations that control long polls.
type PollTimes struct {
	// Wait is how long an upstream delays its response while nothing has changed.
	// An upstream that does not respond is detected after Wait and Margin.
	Wait time.Duration
	// Margin is how long after the wait a poll without a response times out, and the
	// longest time without progress while a response is read.
	Margin time.Duration
	// Coalesce is how long a response is delayed after the first change, so that
	// changes that follow closely are sent in the same response.
	Coalesce time.Duration
	// MaxSilence is how long after the last response of the nodes that it follows a
	// node reads the platform itself. It is used in direct mode only.
	MaxSilence time.Duration
	// SearchAfter is how long after the last response of the nodes that it follows a node
	// polls others to learn of changes. It is used in direct mode only and is longer than
	// Wait and a round trip.
	SearchAfter time.Duration
}

// DefaultPollTimes suit a large mesh in which changes may take seconds to arrive.
var DefaultPollTimes = PollTimes{Wait: 4 * time.Second, Margin: 1500 * time.Millisecond, Coalesce: 250 * time.Millisecond}

// Interfaces of the services that this one looks up by name.
type (
	configurations interface {
		Configuration() *kernel.Snapshot[*model.Configuration]
	}
	memberViews interface {
		View() *kernel.Snapshot[*members.View]
	}
	freshness interface {
		// Fresh reports whether the node has synchronised since its start and since its
		// last pause.
		Fresh() bool
	}
	recorder interface {
		Record(kind timeline.Kind, detail string)
		Clock() *timeline.Clock
	}
	metrics interface {
		Scope() tally.Scope
	}
	// platformReader is implemented by the service that reads the platform.
	platformReader interface {
		// Revision returns the revision of the platform up to which this node has read
		// all changes, or 0. It is safe for concurrent use.
		Revision() model.Revision
	}
	accounts interface {
		Account(service string) *occupancy.Account
	}
	statusPage interface {
		AddStatus(section string, f func() any)
	}
)

// Service replicates configuration and membership between this node and others.
type Service struct {
	config   Config
	clock    clock.Clock
	loop     *kernel.Loop
	log      *slog.Logger
	timeline recorder
	watchdog freshness
	suspects suspectHandler
	// source is nil on a node that never reads the platform.
	source        platformReader
	account       *occupancy.Account // nil if the node has none
	configuration *kernel.Snapshot[*model.Configuration]
	members       *kernel.Snapshot[*members.View]
	dial          func(address string) wire.Exchange
	http          *http.Client
	server        *http.Server
	bytes         byteCounters
	cursors       *cursors
	offers        offers
	outbox        *outbox
	// transfers bounds the number of complete configurations sent at a time, and polls
	// the number of polls served at a time.
	transfers slots
	polls     slots
	// stopping is closed on shutdown; waiting polls then get a response at once.
	stopping chan struct{}
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	// role, synchronised, contact and repair are written on the control loop.
	// synchronised counts control.Synchronised messages. contact is this node's contact
	// with the platform; it stays ContactNone outside of direct mode.
	role         *kernel.Snapshot[role]
	synchronised *kernel.Snapshot[uint64]
	contact      *kernel.Snapshot[model.PlatformContact]
	// searchRate is written on the control loop.
	searchRate *kernel.Snapshot[searchRate]
	// known is a copy of following.knownRevision for other goroutines. links is what
	// polls tell other nodes about links, nil outside of direct mode.
	known   atomic.Uint64
	links   atomic.Pointer[links]
	repair  *kernel.Snapshot[repair]
	planner planner
}

// New returns the service.
func New(c Config) *Service {
	if c.PollTimes == (PollTimes{}) {
		c.PollTimes = DefaultPollTimes
	}
	s := &Service{
		config:       c,
		cursors:      newCursors(),
		transfers:    newSlots(maxTransfers),
		polls:        newSlots(maxPolls),
		stopping:     make(chan struct{}),
		role:         kernel.NewSnapshot(role{}),
		synchronised: kernel.NewSnapshot[uint64](0),
		contact:      kernel.NewSnapshot(model.ContactNone),
		searchRate:   kernel.NewSnapshot(searchOff),
		repair:       kernel.NewSnapshot(repair{}),
		planner: planner{
			exclusions: rank.NewExclusions(),
			deferred:   make(map[model.InstanceID]model.Member),
			following:  following{confirmed: make(map[peer]time.Time), wideLinks: make(map[string]time.Time)},
		},
		dial: c.Dial,
	}
	s.planner.rng = s.random("planner")
	s.outbox = newOutbox(s)
	s.http = newHTTPClient(&s.bytes)
	if s.dial == nil {
		client := twirpClient{client: s.http, largeResponses: newSlots(1)}
		s.dial = func(address string) wire.Exchange { return newExchangeClient(client, address) }
	}
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Exchange }

// ControlBytes returns the number of bytes of control traffic received and sent.
func (s *Service) ControlBytes() (received, sent uint64) {
	return s.bytes.received.Load(), s.bytes.sent.Load()
}

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.loop, s.log = c.Clock, c.Loop, c.Log
	if err := s.findRequiredServices(c); err != nil {
		return err
	}
	s.findOptionalServices(c)
	s.subscribe(c.Loop)
	return nil
}

func (s *Service) findRequiredServices(c *kernel.Context) error {
	var err error
	if s.timeline, err = kernel.Find[recorder](c, control.Timeline); err != nil {
		return err
	}
	if s.watchdog, err = kernel.Find[freshness](c, control.Watchdog); err != nil {
		return err
	}
	config, err := kernel.Find[configurations](c, control.Config)
	if err != nil {
		return err
	}
	membership, err := kernel.Find[memberViews](c, control.Membership)
	if err != nil {
		return err
	}
	s.configuration, s.members = config.Configuration(), membership.View()
	return nil
}

// findOptionalServices looks up services that not every node runs.
func (s *Service) findOptionalServices(c *kernel.Context) {
	if m, err := kernel.Find[metrics](c, control.Metrics); err == nil {
		s.bytes.registerMetrics(m.Scope())
	}
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(control.Exchange, s.status)
	}
	if accounts, err := kernel.Find[accounts](c, control.Resources); err == nil {
		s.account = accounts.Account(control.Exchange)
	}
	if reader, err := kernel.Find[platformReader](c, control.Source); err == nil {
		s.source = reader
	}
	if handler, err := kernel.Find[suspectHandler](c, control.Quarantine); err == nil {
		s.suspects = handler
	}
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	if s.config.Listener != nil {
		s.serve()
	}
	ctx, s.cancel = context.WithCancel(ctx)
	for index := range rank.MaxFollowed {
		s.tasks.Go(func() { s.runPoller(ctx, index) })
	}
	if s.config.Direct {
		s.tasks.Go(func() { s.runSearch(ctx) })
		return s.loop.Post(ctx, replan{})
	}
	s.outbox.start(ctx)
	s.tasks.Go(func() { s.runBootstrap(ctx) })
	s.tasks.Go(func() { s.runComparisons(ctx) })
	return s.loop.Post(ctx, reannounce{})
}

// Stop implements kernel.Stopper. It first sends the queued announcements, so
// that other nodes learn that this one is stopping.
func (s *Service) Stop(ctx context.Context) error {
	handled := barrier{handled: make(chan struct{})}
	_ = s.loop.PostAndWait(ctx, handled.handled, handled) // on an error the context is done, which also ends flush
	s.outbox.flush(ctx)
	close(s.stopping)
	s.cancel()
	var err error
	if s.server != nil {
		err = s.server.Shutdown(ctx)
	}
	s.http.CloseIdleConnections()
	s.tasks.Wait()
	return err
}

// random returns a random generator for one goroutine. Generators for different purposes
// are independent.
func (s *Service) random(purpose string) *rand.Rand {
	stream := members.Hash(s.config.Self.ID) ^ members.Hash(model.InstanceID(purpose))
	return rand.New(rand.NewPCG(s.config.RandomSeed, stream))
}
