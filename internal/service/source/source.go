// Package source provides the service that reads configuration and instances from
// the platform while this node is a reader for its failure domain.
package source

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// Pacing limits how often the service calls the platform.
type Pacing struct {
	// WatchWait is how long the platform delays the response to a listing while
	// nothing has changed (long polling).
	WatchWait time.Duration
	// ListInterval is the minimum time between two listings by the first reader;
	// later ones wait longer. Changes within one interval are read together.
	ListInterval time.Duration
	// Retry is the backoff after failed calls, and InterimRetry that of a node that
	// reads only until it can follow another one: in an outage all nodes do.
	Retry, InterimRetry backoff.Policy
	// MaxRetryAfter limits the additional delay that the platform can request,
	// because the platform does not know how soon a node must be current again.
	MaxRetryAfter time.Duration
	// StartJitter limits the random delay before the first call of a node that
	// became a reader. The limit grows by StartJitter for each reader before it.
	StartJitter time.Duration
}

// DefaultPacing is meant for a platform that is read by few of many nodes.
var DefaultPacing = Pacing{
	WatchWait:    30 * time.Second,
	ListInterval: time.Second,
	Retry:        backoff.Policy{Base: 3 * time.Second, Max: 30 * time.Second},
	InterimRetry: backoff.Policy{Base: 3 * time.Second, Max: 30 * time.Second},

	MaxRetryAfter: time.Minute,

	// During mass restarts many nodes are readers for a short time.
	StartJitter: 2 * time.Second,
}

const (
	// delayPerReader is how long a reader waits, for each reader before it, for that
	// reader to deliver changed values.
	delayPerReader = 750 * time.Millisecond
	// peerWait is how long a node that has just started waits for the configuration of a
	// peer after it has read the platform's. Peers respond within a few round trips.
	peerWait = 400 * time.Millisecond
	// callRate (calls per second) and callBurst limit the calls of one process. They
	// keep the readers of 11 failure domains together below 700 calls per second.
	callRate  = rate.Limit(20)
	callBurst = 10
)

// Parse parses the text of a value into a subtree. An invalid text yields a
// subtree that is marked as rejected. If removed is true, the text is ignored.
type Parse func(key model.Key, revision model.Revision, text []byte, removed bool) *model.Subtree

// Config holds the settings of the service.
type Config struct {
	Self     model.Self
	Platform Platform
	Parse    Parse
	// RandomSeed makes the jitter differ between processes.
	RandomSeed uint64
	// Pacing defaults to DefaultPacing.
	Pacing Pacing
}

// The parts that this service uses of the services that it finds by name.
type (
	configSource interface {
		Configuration() *kernel.Snapshot[*model.Configuration]
	}
	memberSource interface {
		View() *kernel.Snapshot[*members.View]
	}
	recorder interface {
		Record(kind timeline.Kind, detail string)
	}
)

// Service reads the platform.
type Service struct {
	config         Config
	clock          clock.Clock
	loop           *kernel.Loop
	log            *slog.Logger
	timeline       recorder
	configurations *kernel.Snapshot[*model.Configuration]
	members        *kernel.Snapshot[*members.View]
	// assignment and readerIndex are written on the control loop only.
	assignment *kernel.Snapshot[assignment]
	// readerIndex is the number of readers that come before this one.
	readerIndex atomic.Int64
	// interim is control.ReadScopeChanged.Interim.
	interim atomic.Bool
	// unreached is true after a failed listing of instances. It is used on the control
	// loop only.
	unreached bool
	// holdKeys is true while unreached and interim are; see awaitInstances.
	holdKeys *kernel.Snapshot[bool]
	// revisions holds, by listing, the revision up to which all changes are known.
	revisions [listingCount]atomic.Uint64
	limiter   *rate.Limiter
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	// confirmed holds the listings that were confirmed in the current round. It is
	// used on the control loop only.
	confirmed map[listing]bool
	// instancesRevision is the newest revision of the instance list. Only the
	// goroutine that watches the list uses it.
	instancesRevision model.Revision
	// removalHold and returnHold are used by the same goroutine only.
	removalHold platformread.RemovalHold
	returnHold  platformread.ReturnHold
	// evacuationHold and evacuationsSettled are used by the goroutine that watches the keys
	// only. evacuationsSettled is true if the cut being assembled holds no evacuations that
	// are missing in the platform.
	evacuationHold     platformread.EvacuationHold
	evacuationsSettled bool
	// returns counts the returns of the platform from an older copy that this node noticed.
	returns tally.Counter
	// decodeTime is the time spent parsing values since the last posted cut, 0 if no
	// value was read. Only the goroutine that watches the keys uses it.
	decodeTime time.Duration
}

// assignment is what the I/O goroutines have to read.
type assignment struct {
	scope control.ReadScope
	// round is incremented after every pause of the process; each round starts with
	// new listings.
	round uint64
}

// listing identifies one of the two lists of the platform.
type listing uint8

const (
	listingKeys listing = iota
	listingInstances
	listingCount
)

// New returns the service.
func New(c Config) *Service {
	if c.Pacing == (Pacing{}) {
		c.Pacing = DefaultPacing
	}
	return &Service{
		config:     c,
		assignment: kernel.NewSnapshot(assignment{}),
		holdKeys:   kernel.NewSnapshot(false),
		limiter:    rate.NewLimiter(callRate, callBurst),
		returns:    tally.NoopScope.Counter(""),
		confirmed:  make(map[listing]bool),
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
	config, err := kernel.Find[configSource](c, control.Config)
	if err != nil {
		return err
	}
	membership, err := kernel.Find[memberSource](c, control.Membership)
	if err != nil {
		return err
	}
	s.configurations, s.members = config.Configuration(), membership.View()
	s.observePlatform(c)
	kernel.Subscribe(c.Loop, s.handleScope)
	kernel.Subscribe(c.Loop, s.handlePaused)
	kernel.Subscribe(c.Loop, s.handlePlatformReached)
	kernel.Subscribe(c.Loop, s.handleRead)
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.runWatch(ctx, control.ReadAll, "keys", s.watchKeys) })
	s.tasks.Go(func() { s.runWatch(ctx, control.ReadInstances, "instances", s.watchInstances) })
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.tasks.Wait()
	return nil
}

// listingRead reports to the control loop that a listing succeeded in a round.
type listingRead struct {
	listing listing
	round   uint64
	// revision is the revision up to which all changes are known, or 0 if unknown.
	revision model.Revision
	// handled is closed once the control loop has handled the message.
	handled chan struct{}
}

// MessageName implements kernel.Message.
func (listingRead) MessageName() string { return "platform-read" }

// handleRead emits control.Synchronised when both lists have been read in the current
// round for the first time.
func (s *Service) handleRead(m listingRead) {
	defer close(m.handled)
	known := &s.revisions[m.listing]
	known.Store(max(known.Load(), uint64(m.revision)))
	if m.round != s.assignment.Load().round {
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

// runWatch calls watch whenever the scope includes required, until the context
// ends. The context of watch ends when the scope no longer includes required or
// a new round begins.
func (s *Service) runWatch(ctx context.Context, required control.ReadScope, purpose string, watch func(context.Context, *retrier, assignment)) {
	rng := s.newRandom(purpose)
	retry := &retrier{service: s, purpose: purpose, rng: rng}
	for ctx.Err() == nil {
		current, changed := s.assignment.Watch()
		if current.scope < required {
			_ = kernel.Await(ctx, changed)
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		s.tasks.Go(func() {
			defer cancel()
			_ = s.assignment.AwaitWhile(watchCtx, func(a assignment) bool { return a.scope >= required && a.round == current.round })
		})
		s.delayStart(watchCtx, rng)
		watch(watchCtx, retry, current)
		cancel()
	}
}

// delayStart delays the first call by a random time. A node without a
// configuration reads at once.
func (s *Service) delayStart(ctx context.Context, rng *rand.Rand) {
	if s.knownCut().Revision == 0 {
		return
	}
	spread := time.Duration(1+s.readerIndex.Load()) * s.config.Pacing.StartJitter
	_ = clock.Wait(ctx, s.clock, time.Duration(rng.Int64N(int64(spread))))
}

func (s *Service) awaitRateLimit(ctx context.Context) error {
	now := s.clock.Now()
	delay := s.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay == 0 {
		return ctx.Err()
	}
	return clock.Wait(ctx, s.clock, delay)
}

// postAndWait waits until the control loop has handled the messages.
func (s *Service) postAndWait(ctx context.Context, done listingRead, messages ...kernel.Message) {
	_ = s.loop.PostAndWait(ctx, done.handled, append(messages, done)...) // the calling loop checks the context
}

// newRandom returns a random number generator whose sequence differs between purposes
// and instances.
func (s *Service) newRandom(purpose string) *rand.Rand {
	stream := members.Hash(s.config.Self.ID) ^ members.Hash(model.InstanceID(purpose))
	return rand.New(rand.NewPCG(s.config.RandomSeed, stream))
}
