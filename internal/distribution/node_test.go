// Package distribution tests the distribution of configuration and membership among
// many nodes, which run their real services on a fake clock and an in-memory network.
package distribution

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/config"
	"github.com/galenalever/galenalever/internal/service/exchange"
	"github.com/galenalever/galenalever/internal/service/membership"
	"github.com/galenalever/galenalever/internal/service/source"
	"github.com/galenalever/galenalever/internal/service/watchdog"
	"github.com/galenalever/galenalever/internal/timeline"
)

// bootstrapFor is how long a new process tries to bootstrap from other nodes.
const bootstrapFor = 2 * time.Second

// node is a process of an instance with its real control services.
type node struct {
	self       model.Self
	kernel     *kernel.Kernel
	exchange   *exchange.Service
	membership *membership.Service
	watchdog   *watchdog.Service
	config     *config.Service
	// ctx ends when the process is killed.
	ctx    context.Context
	cancel context.CancelFunc
}

// newNode returns a live node without services.
func newNode(self model.Self) *node {
	n := &node{self: self}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// startNode starts a process of an instance, which is ready at once. The seed is the
// random seed of its services.
func startNode(m *mesh, self model.Self, seed uint64) *node {
	if m.direct {
		return startDirectNode(m, self, seed)
	}
	n := newNode(self)
	n.membership = membership.New(membership.Config{Self: self})
	n.watchdog = watchdog.New(watchdog.Config{})
	n.config = config.New(bootstrapFor)
	n.exchange = exchange.New(exchange.Config{
		Self:         self,
		Dial:         m.dialer(n),
		Seeds:        m.seeds,
		BootstrapFor: bootstrapFor,
		RandomSeed:   seed,
	})
	n.run(m, source.New(source.Config{Self: self, Platform: &platformClient{mesh: m, node: n}, Parse: document.NewSubtree, RandomSeed: seed}))
	n.kernel.Loop().TryPost(control.PresenceChanged{Presence: model.PresenceReady})
	return n
}

// run starts the services of the node.
func (n *node) run(m *mesh, src *source.Service) {
	n.kernel = kernel.New(m.clock, slog.New(slog.DiscardHandler))
	events := &timelineService{clock: timeline.NewClock(m.clock)}
	if err := n.kernel.Register(events, n.watchdog, n.config, n.membership, src, n.exchange, &observer{mesh: m, id: n.self.ID}); err != nil {
		panic(err)
	}
	if err := n.kernel.Start(context.Background()); err != nil {
		panic(err)
	}
}

// kill ends the process without notice to other nodes.
func (n *node) kill() {
	n.cancel()
	_ = n.kernel.Stop(n.ctx)
}

func (n *node) alive() bool { return n.ctx.Err() == nil }

// behind reports whether the node does not know the newest revision or holds a subtree
// back.
func (n *node) behind(newest model.Revision) bool {
	c := n.config.Configuration().Load()
	return c.Cut.Revision != newest || len(c.Held) > 0
}

// observer is a service that passes each configuration change and each
// control.Synchronised message of its node to the mesh, and executes stall messages.
type observer struct {
	mesh *mesh
	id   model.InstanceID
}

func (*observer) Name() string { return "observer" }

func (o *observer) Provision(c *kernel.Context) error {
	kernel.Subscribe(c.Loop, func(m stall) { <-m.resume })
	kernel.Subscribe(c.Loop, func(control.Synchronised) { o.mesh.synchronised.Add(1) })
	kernel.Subscribe(c.Loop, func(m control.ConfigurationChanged) { o.mesh.recordConfiguration(o.id, m.Configuration) })
	return nil
}

// stall is a message that blocks a control loop until resume is closed.
type stall struct{ resume chan struct{} }

func (stall) MessageName() string { return "stall" }

// timelineService is a timeline that discards all events.
type timelineService struct{ clock *timeline.Clock }

func (*timelineService) Name() string                 { return control.Timeline }
func (*timelineService) Record(timeline.Kind, string) {}
func (t *timelineService) Clock() *timeline.Clock     { return t.clock }
