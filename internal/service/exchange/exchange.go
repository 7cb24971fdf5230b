// Package exchange is the service that spreads configuration and membership
// between nodes: it polls an upstream, serves the nodes that poll this one,
// compares with others now and then, and announces changes of members to the
// readers of the platform.
package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
	"github.com/galenalever/galenalever/internal/wire"
)

// Config is the settings of the service.
type Config struct {
	Self model.Self
	// Listener takes exchanges from other nodes. A test without a network
	// leaves it nil and calls the service itself.
	Listener net.Listener
	// Dial returns the exchange of another node; nil selects HTTP.
	Dial func(address string) wire.Exchange
	// Seeds are the control addresses of nodes that a fresh process asks.
	Seeds []string
	// BootstrapFor is how long a fresh process asks nodes before it reads the
	// platform itself.
	BootstrapFor time.Duration
	// RandomSeed varies jitter and random choices between processes.
	RandomSeed uint64
	// Direct is true if every node reads the list of instances itself, and the
	// configuration too if its link carries it. Other nodes follow such nodes for
	// the configuration. The service announces nothing then.
	Direct bool
	// Bandwidth is that of the node's link in bits a second; 0 means no limit.
	Bandwidth float64
	// PollTimes are DefaultTimes if they are zero.
	PollTimes PollTimes
}

// PollTimes are the times of polls.
type PollTimes struct {
	// Wait is how long an upstream holds an answer back when there is nothing
	// new. It bounds how late a silent upstream is noticed.
	Wait time.Duration
	// Margin is the time beyond the wait after which a poll has failed.
	Margin time.Duration
	// Coalesce is how long an answer waits after the first news, so that changes
	// which come together travel together.
	Coalesce time.Duration
}

// DefaultPollTimes suit a large mesh with a bound of seconds for changes.
var DefaultPollTimes = PollTimes{Wait: 4 * time.Second, Margin: 1500 * time.Millisecond, Coalesce: 250 * time.Millisecond}

// The small interfaces of the partners that the service finds by name.
type (
	configurations interface {
		Configuration() *kernel.Snapshot[*model.Configuration]
	}
	views interface {
		View() *kernel.Snapshot[*members.View]
	}
	freshness interface {
		Fresh() bool
	}
	recorder interface {
		Record(kind timeline.Kind, detail string)
		Clock() *timeline.Clock
	}
	metrics interface {
		Scope() tally.Scope
	}
	// platformReader is the service that reads the platform.
	platformReader interface {
		Contact() model.PlatformContact
	}
	statusPage interface {
		AddStatus(section string, f func() any)
	}
)

// Service exchanges state with other nodes.
type Service struct {
	config   Config
	clock    clock.Clock
	loop     *kernel.Loop
	log      *slog.Logger
	timeline recorder
	watchdog freshness
	suspects suspectHandler
	// source is nil in a node that never reads the platform.
	source    platformReader
	states    *kernel.Snapshot[*model.Configuration]
	members   *kernel.Snapshot[*members.View]
	dial      func(address string) wire.Exchange
	http      *http.Client
	server    *http.Server
	bytes     byteCounters
	cursors   *cursors
	offers    offers
	outbox    *outbox
	transfers slots
	polls     slots
	// interim are the polls of followers that a node serves whose link does not
	// carry the configuration.
	interim slots
	// stopping is closed when held polls must be answered.
	stopping chan struct{}
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	// role and synchronised are written on the control loop.
	role         *kernel.Snapshot[role]
	synchronised *kernel.Snapshot[uint64]
	repair       *kernel.Snapshot[repair]
	planner      planner
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
		interim:      newSlots(maxInterimFollowers),
		stopping:     make(chan struct{}),
		role:         kernel.NewSnapshot(role{}),
		synchronised: kernel.NewSnapshot[uint64](0),
		repair:       kernel.NewSnapshot(repair{}),
		planner: planner{
			exclusions: rank.NewExclusions(),
			pending:    make(map[model.InstanceID]model.Member),
		},
		dial: c.Dial,
	}
	s.planner.rng = s.random("planner")
	s.outbox = newOutbox(s)
	s.http = newClient(&s.bytes)
	if s.dial == nil {
		client := leanClient{client: s.http, large: newSlots(1)}
		s.dial = func(address string) wire.Exchange { return newRemote(client, address) }
	}
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Exchange }

// ControlBytes returns the bytes received and sent for control.
func (s *Service) ControlBytes() (received, sent uint64) {
	return s.bytes.received.Load(), s.bytes.sent.Load()
}

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.loop, s.log = c.Clock, c.Loop, c.Log
	if err := s.findPartners(c); err != nil {
		return err
	}
	s.findOptionalPartners(c)
	s.subscribe(c.Loop)
	return nil
}

func (s *Service) findPartners(c *kernel.Context) error {
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
	membership, err := kernel.Find[views](c, control.Membership)
	if err != nil {
		return err
	}
	s.states, s.members = config.Configuration(), membership.View()
	return nil
}

// findOptionalPartners looks up services that a node may lack.
func (s *Service) findOptionalPartners(c *kernel.Context) {
	if m, err := kernel.Find[metrics](c, control.Metrics); err == nil {
		s.bytes.report(m.Scope())
	}
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(control.Exchange, s.status)
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
	for place := range rank.MaxFollowed {
		s.tasks.Go(func() { s.runPoller(ctx, place) })
	}
	if s.config.Direct {
		return s.loop.Post(ctx, replan{})
	}
	s.outbox.start(ctx)
	s.tasks.Go(func() { s.runBootstrap(ctx) })
	s.tasks.Go(func() { s.runCompare(ctx) })
	return s.loop.Post(ctx, reannounce{})
}

// Stop implements kernel.Stopper. It first sends the announcements that wait,
// so that others learn of the end of this node.
func (s *Service) Stop(ctx context.Context) error {
	handled := barrier{handled: make(chan struct{})}
	_ = s.loop.PostAndWait(ctx, handled.handled, handled) // flush itself ends with the context
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

// random returns a random source of its own for one goroutine.
func (s *Service) random(purpose string) *rand.Rand {
	stream := members.Hash(s.config.Self.ID) ^ members.Hash(model.InstanceID(purpose))
	return rand.New(rand.NewPCG(s.config.RandomSeed, stream))
}
