// Package distribution holds the scenarios of distribution and membership: many
// nodes with their real services on a fake clock and an in-memory network.
package distribution

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/exchange"
	"github.com/galenalever/galenalever/internal/service/membership"
	"github.com/galenalever/galenalever/internal/service/source"
	"github.com/galenalever/galenalever/internal/service/watchdog"
	"github.com/galenalever/galenalever/internal/timeline"
)

// node is one process with its real control services.
type node struct {
	self       model.Self
	kernel     *kernel.Kernel
	exchange   *exchange.Service
	membership *membership.Service
	watchdog   *watchdog.Service
	config     *configService
	// dead is closed when the process is killed.
	dead chan struct{}
}

func startNode(m *mesh, self model.Self, seed uint64) *node {
	n := &node{self: self, dead: make(chan struct{})}
	n.membership = membership.New(membership.Config{Self: self})
	n.watchdog = watchdog.New()
	n.config = &configService{mesh: m, id: self.ID, state: kernel.NewSnapshot(&model.Configuration{})}
	n.exchange = exchange.New(exchange.Config{
		Self:         self,
		Dial:         m.dialer(n),
		Seeds:        m.seeds,
		BootstrapFor: 2 * time.Second,
		RandomSeed:   seed,
	})
	src := source.New(source.Config{Self: self, Platform: &platformLink{mesh: m, node: n}, Parse: parse, RandomSeed: seed})
	n.kernel = kernel.New(clock.System{}, slog.New(slog.DiscardHandler))
	events := &timelineService{clock: timeline.NewClock(clock.System{})}
	if err := n.kernel.Register(events, n.watchdog, n.config, n.membership, src, n.exchange); err != nil {
		panic(err)
	}
	if err := n.kernel.Start(context.Background()); err != nil {
		panic(err)
	}
	n.kernel.Loop().TryPost(control.PresenceChanged{Presence: model.PresenceReady})
	return n
}

// kill ends the process without a word to others.
func (n *node) kill() {
	close(n.dead)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.kernel.Stop(ctx)
}

func (n *node) alive() bool {
	select {
	case <-n.dead:
		return false
	default:
		return true
	}
}

func (n *node) revision() model.Revision { return n.config.state.Load().Cut.Revision }

func parse(key model.Key, revision model.Revision, text []byte, removed bool) *model.Subtree {
	leaves := []model.Leaf{{Path: "text", Value: text, Changed: revision}}
	return &model.Subtree{Key: key, Revision: revision, Removed: removed, Leaves: leaves, Hash: model.HashLeaves(leaves)}
}

// configService keeps the cut by the real rules of replication and runs all of
// it.
type configService struct {
	mesh  *mesh
	id    model.InstanceID
	loop  *kernel.Loop
	state *kernel.Snapshot[*model.Configuration]
}

func (*configService) Name() string { return control.Config }

func (c *configService) Configuration() *kernel.Snapshot[*model.Configuration] { return c.state }

func (c *configService) Provision(k *kernel.Context) error {
	c.loop = k.Loop
	kernel.Subscribe(k.Loop, func(m control.CutReceived) {
		if next, err := replicate.Advance(c.state.Load().Cut, m.Cut); err == nil {
			c.store(next)
		}
	})
	kernel.Subscribe(k.Loop, func(m control.DeltaReceived) {
		result := replicate.Apply(c.state.Load().Cut, m.Delta)
		if len(result.Mismatched) > 0 || result.Resync {
			c.loop.Emit(control.WholeSubtreesNeeded{From: m.From, Keys: result.Mismatched, All: result.Resync})
			return
		}
		c.store(result.Cut)
	})
	return nil
}

func (c *configService) store(cut model.Cut) {
	if cut.Revision == c.state.Load().Cut.Revision {
		return
	}
	next := &model.Configuration{Cut: cut, Running: cut.Subtrees}
	c.state.Store(next)
	c.mesh.observe(c.id, cut.Revision)
	c.loop.Emit(control.ConfigurationChanged{Configuration: next})
}

// timelineService drops the events.
type timelineService struct{ clock *timeline.Clock }

func (*timelineService) Name() string                 { return control.Timeline }
func (*timelineService) Record(timeline.Kind, string) {}
func (t *timelineService) Clock() *timeline.Clock     { return t.clock }
