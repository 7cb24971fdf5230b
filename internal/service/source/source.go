// Package source is the service that reads the platform while this node is a
// reader of its failure domain.
package source

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/reading"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// Pacing bounds how often the service calls the platform.
type Pacing struct {
	// WatchWait is how long the platform holds a listing back when there is
	// nothing new.
	WatchWait time.Duration
	// ListInterval is the least time between two listings by the first reader;
	// later ones wait longer. Changes that come together are read together.
	ListInterval time.Duration
	// Retry bounds the delay after a failed call.
	Retry backoff.Policy
	// MaxRetryAfter bounds the further delay that the platform can ask for:
	// it cannot know how soon a node must be current again.
	MaxRetryAfter time.Duration
	// FollowedWait is how long a listing is held back while other nodes rely on
	// this one. It bounds how late they learn that the platform is out of its
	// reach.
	FollowedWait time.Duration
	// StartJitter bounds the random delay, for each place, before a node that became
	// a reader makes its first call.
	StartJitter time.Duration
}

// DefaultPacing suits a platform that few nodes of many read.
var DefaultPacing = Pacing{
	WatchWait:    30 * time.Second,
	ListInterval: time.Second,
	Retry:        backoff.Policy{Base: 3 * time.Second, Max: 30 * time.Second},

	MaxRetryAfter: time.Minute,

	FollowedWait: 30 * time.Second,
	// In a storm of restarts many nodes are readers for a moment.
	StartJitter: 2 * time.Second,
}

const (
	// placeDelay is how long a reader leaves changed values to each reader that
	// comes before it.
	placeDelay = 750 * time.Millisecond
	// callRate and callBurst bound the calls of one process. The readers of 11
	// failure domains together stay below 700 calls a second.
	callRate  = rate.Limit(20)
	callBurst = 10
)

// Parse makes a subtree from the text of a value. A text that is not valid
// yields a subtree that is marked as rejected.
type Parse func(key model.Key, revision model.Revision, text []byte, removed bool) *model.Subtree

// Config is the settings of the service.
type Config struct {
	Self     model.Self
	Platform Platform
	Parse    Parse
	// RandomSeed varies the jitter between processes.
	RandomSeed uint64
	// Pacing is DefaultPacing if it is zero.
	Pacing Pacing
}

// The small interfaces of the partners that the service finds by name.
type (
	configurations interface {
		Configuration() *kernel.Snapshot[*model.Configuration]
	}
	views interface {
		View() *kernel.Snapshot[*members.View]
	}
	recorder interface {
		Record(kind timeline.Kind, detail string)
	}
)

// Service reads the platform.
type Service struct {
	config   Config
	clock    clock.Clock
	loop     *kernel.Loop
	log      *slog.Logger
	timeline recorder
	states   *kernel.Snapshot[*model.Configuration]
	members  *kernel.Snapshot[*members.View]
	// order and place are written on the control loop.
	order *kernel.Snapshot[order]
	// place is the number of readers that read before this one.
	place atomic.Int64
	// followed is true while other nodes rely on this one.
	followed atomic.Bool
	// answered is true if the last listing of keys succeeded.
	answered atomic.Bool
	limiter  *rate.Limiter
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	// confirmed tells which listings were current in the present round. It is
	// touched on the control loop only.
	confirmed map[listing]bool
	// instancesSeen is the newest revision of the list of instances. Only the
	// goroutine that watches the list touches it.
	instancesSeen model.Revision
	// lapses belongs to the same goroutine.
	lapses reading.RemovalHold
	// decoding is the time spent on values since the last cut. It belongs to the
	// goroutine that watches the keys.
	decoding time.Duration
}

// order is what the I/O goroutines have to read.
type order struct {
	scope control.ReadScope
	// round grows with every pause, after which all is read again.
	round uint64
}

// listing names one of the two lists of the platform.
type listing uint8

const (
	listingKeys listing = iota
	listingInstances
)

// New returns the service.
func New(c Config) *Service {
	if c.Pacing == (Pacing{}) {
		c.Pacing = DefaultPacing
	}
	return &Service{
		config:    c,
		order:     kernel.NewSnapshot(order{}),
		limiter:   rate.NewLimiter(callRate, callBurst),
		confirmed: make(map[listing]bool),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Source }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.loop, s.log = c.Clock, c.Loop, c.Log
	var err error
	if s.timeline, err = kernel.Find[recorder](c, control.Timeline); err != nil {
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
	s.observePlatform(c)
	kernel.Subscribe(c.Loop, s.handleScope)
	kernel.Subscribe(c.Loop, s.handlePaused)
	kernel.Subscribe(c.Loop, s.handleRead)
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.run(ctx, control.ReadAll, "keys", s.watchKeys) })
	s.tasks.Go(func() { s.run(ctx, control.ReadInstances, "instances", s.watchInstances) })
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.tasks.Wait()
	return nil
}

// read tells the control loop that a listing was current.
type read struct {
	listing listing
	round   uint64
	handled chan struct{}
}

// MessageName implements kernel.Message.
func (read) MessageName() string { return "platform-read" }

func (s *Service) handleRead(m read) {
	defer close(m.handled)
	if m.round != s.order.Load().round {
		return
	}
	if s.confirmed[m.listing] {
		return
	}
	s.confirmed[m.listing] = true
	if s.confirmed[listingKeys] && s.confirmed[listingInstances] {
		s.loop.Emit(control.Synchronised{From: control.Origin{Platform: true}})
	}
}

// run calls watch whenever the scope includes need, until the context ends.
// The context of watch ends when the order excludes need or has a new round.
func (s *Service) run(ctx context.Context, need control.ReadScope, purpose string, watch func(context.Context, *retrier, order)) {
	rng := s.random(purpose)
	retry := &retrier{service: s, purpose: purpose, rng: rng}
	for ctx.Err() == nil {
		current, changed := s.order.Watch()
		if current.scope < need {
			_ = kernel.Await(ctx, changed)
			continue
		}
		orderCtx, cancel := context.WithCancel(ctx)
		s.tasks.Go(func() {
			defer cancel()
			_ = s.order.AwaitWhile(orderCtx, func(o order) bool { return o.scope >= need && o.round == current.round })
		})
		s.settle(orderCtx, rng)
		watch(orderCtx, retry, current)
		cancel()
	}
}

// settle delays the first call of a node that has a configuration; without one
// there is nothing to wait for.
func (s *Service) settle(ctx context.Context, rng *rand.Rand) {
	if s.base().Revision == 0 {
		return
	}
	spread := time.Duration(1+s.place.Load()) * s.config.Pacing.StartJitter
	_ = clock.Wait(ctx, s.clock, time.Duration(rng.Int64N(int64(spread))))
}

// admit waits until the process may make another call.
func (s *Service) admit(ctx context.Context) error {
	now := s.clock.Now()
	delay := s.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay == 0 {
		return ctx.Err()
	}
	return clock.Wait(ctx, s.clock, delay)
}

// post hands messages to the control loop and waits until they are handled.
func (s *Service) post(ctx context.Context, done read, messages ...kernel.Message) {
	_ = s.loop.PostAndWait(ctx, done.handled, append(messages, done)...) // the caller's loop checks the context
}

func (s *Service) random(purpose string) *rand.Rand {
	stream := members.Hash(s.config.Self.ID) ^ members.Hash(model.InstanceID(purpose))
	return rand.New(rand.NewPCG(s.config.RandomSeed, stream))
}
