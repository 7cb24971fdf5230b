package config

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/history"
	"github.com/galenalever/galenalever/internal/timeline"
)

// bootstrapFor is the bootstrap time of all nodes in these tests.
const bootstrapFor = 2 * time.Second

// node is one config service on a control loop that the test drives.
type node struct {
	service *Service
	loop    *kernel.Loop
	clock   *clock.Fake
	// repair is the last WholeSubtreesNeeded message; the next configuration change
	// resets it.
	repair control.WholeSubtreesNeeded
	events []string
}

// Record implements recorder.
func (n *node) Record(kind timeline.Kind, detail string) {
	n.events = append(n.events, fmt.Sprintf("%s %s", kind, detail))
}

func startNode() *node {
	fake := clock.NewFake(time.Unix(0, 0))
	log := slog.New(slog.DiscardHandler)
	n := &node{service: New(bootstrapFor), loop: kernel.NewLoop(fake, log), clock: fake}
	n.service.subscribe(n.loop, log, n)
	kernel.Subscribe(n.loop, func(m control.WholeSubtreesNeeded) { n.repair = m })
	kernel.Subscribe(n.loop, func(control.ConfigurationChanged) { n.repair = control.WholeSubtreesNeeded{} })
	_ = n.service.Start(context.Background())
	return n
}

func (n *node) configuration() *model.Configuration { return n.service.Configuration().Load() }

// handle posts a message to the node's control loop and runs the loop.
func (n *node) handle(m kernel.Message) {
	n.loop.TryPost(m)
	n.loop.Drain()
}

func (n *node) advance(d time.Duration) {
	n.clock.Advance(d)
	n.loop.Drain()
}

// poll returns peer's response to this node's next poll, as the exchange service
// would send it.
func (n *node) poll(peer *node) replicate.Delta {
	known := n.configuration()
	if known.Cut.Revision == 0 {
		return replicate.Bootstrap(peer.configuration())
	}
	base := known.Cut.Revision
	if n.repair.All {
		base = 0
	}
	delta := replicate.Diff(peer.configuration().Cut, base, n.repair.Keys)
	delta.Running = replicate.HeldRunning(peer.configuration(), base)
	return delta
}

// compare returns peer's response to a comparison of the running subtrees.
func (n *node) compare(peer *node) replicate.Delta {
	delta := replicate.Diff(peer.configuration().Cut, n.configuration().Cut.Revision, nil)
	if replicate.RunningDigest(n.configuration()) != replicate.RunningDigest(peer.configuration()) {
		delta.Running = replicate.HeldRunning(peer.configuration(), 0)
	}
	return delta
}

func (n *node) receive(delta replicate.Delta) { n.handle(control.DeltaReceived{Delta: delta}) }

// describe returns the node's state and the events since the last call.
func (n *node) describe() string {
	var b strings.Builder
	c := n.configuration()
	fmt.Fprintf(&b, "cut %d, running", c.Cut.Revision)
	for _, key := range slices.Sorted(maps.Keys(c.Running)) {
		fmt.Fprintf(&b, " %s@%d", key, c.Running[key].Revision)
		if c.Running[key].Removed {
			b.WriteString(" (removed)")
		}
	}
	b.WriteString("\n")
	if n.repair.All {
		b.WriteString("requests the complete cut\n")
	}
	if len(n.repair.Keys) > 0 {
		fmt.Fprintf(&b, "requests whole %v\n", n.repair.Keys)
	}
	for _, event := range n.events {
		fmt.Fprintf(&b, "  %s\n", event)
	}
	n.events = nil
	return b.String()
}

// checkCut verifies that the node's cut equals the platform's cut of the same
// revision, and that every route of its tree refers to a declared service.
func checkCut(c *model.Configuration, platform *history.History) error {
	want := platform.Cut(c.Cut.Revision)
	for key, subtree := range c.Cut.Subtrees {
		if original := want.Subtrees[key]; original == nil && !subtree.Removed {
			return fmt.Errorf("cut %d contains %s, which the platform's cut does not", c.Cut.Revision, key)
		}
	}
	for key, original := range want.Subtrees {
		known := c.Cut.Subtrees[key]
		if known == nil || known.Revision != original.Revision || known.Hash != original.Hash {
			return fmt.Errorf("cut %d differs from the platform in %s", c.Cut.Revision, key)
		}
	}
	for _, route := range c.Tree.Routes {
		if c.Tree.Services[route.Service] == nil {
			return fmt.Errorf("route %s/%s refers to an undeclared service at cut %d", route.Team, route.Name, c.Cut.Revision)
		}
	}
	return nil
}

// checkMonotonic verifies that between two states of one process neither the revision
// of the cut nor that of a running subtree decreased.
func checkMonotonic(before, after *model.Configuration) error {
	if after.Cut.Revision < before.Cut.Revision {
		return fmt.Errorf("revision of the cut decreased from %d to %d", before.Cut.Revision, after.Cut.Revision)
	}
	for key, previous := range before.Running {
		next := after.Running[key]
		if next == nil || next.Revision < previous.Revision {
			return fmt.Errorf("running %s@%d is missing or older at cut %d", key, previous.Revision, after.Cut.Revision)
		}
	}
	return nil
}
