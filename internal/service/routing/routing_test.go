package routing_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/routing"
)

type config struct {
	snapshot *kernel.Snapshot[*model.Configuration]
}

func (*config) Name() string { return control.Config }

func (c *config) Configuration() *kernel.Snapshot[*model.Configuration] { return c.snapshot }

type membership struct{ members []model.Member }

func (*membership) Name() string { return control.Membership }

func (m *membership) ServiceMembers(name model.ServiceName) []model.Member {
	var found []model.Member
	for _, member := range m.members {
		if member.Service == name {
			found = append(found, member)
		}
	}
	return found
}

// node runs the routing service on a control loop that the test drives.
type node struct {
	t       *testing.T
	config  *config
	members *membership
	routing *routing.Service
	loop    *kernel.Loop
}

func newNode(t *testing.T) *node {
	n := &node{
		t: t, config: &config{snapshot: kernel.NewSnapshot[*model.Configuration](nil)},
		members: &membership{}, routing: routing.New(),
	}
	k := kernel.New(clock.NewFake(time.Unix(1_700_000_000, 0)), slog.New(slog.DiscardHandler))
	if err := k.Register(n.config, n.members, n.routing); err != nil {
		t.Fatal(err)
	}
	// The loop is stopped at once and then driven by Drain.
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	n.loop = k.Loop()
	return n
}

func (n *node) post(m kernel.Message) {
	if !n.loop.TryPost(m) {
		n.t.Fatal("mailbox full")
	}
	n.loop.Drain()
}

func (n *node) publish(services ...model.ServiceName) {
	tree := &model.Tree{Services: make(map[model.ServiceName]*model.Service)}
	for _, name := range services {
		tree.Services[name] = &model.Service{Name: name}
		tree.Routes = append(tree.Routes, &model.Route{Name: string(name), PathPrefix: "/" + string(name) + "/", Service: name})
	}
	n.config.snapshot.Store(&model.Configuration{Tree: tree})
	n.post(control.ConfigurationChanged{Configuration: n.config.snapshot.Load()})
}

func (n *node) announce(id model.InstanceID, service model.ServiceName, p model.Presence) {
	changed := model.Self{
		ID: id, Service: service, Addresses: model.Addresses{Traffic: string(id) + ":80"}, Incarnation: 1,
	}.Member(p)
	kept := n.members.members[:0:0]
	for _, m := range n.members.members {
		if m.ID != id {
			kept = append(kept, m)
		}
	}
	n.members.members = append(kept, changed)
	n.post(control.MembersChanged{Changed: []model.Member{changed}})
}

func (n *node) endpoints(service model.ServiceName) int {
	return len(n.routing.Table().Load().Destination(service).Endpoints)
}

// TestTableFollowsConfigurationAndMembers checks that a service has endpoints for its
// members that are ready, whether they were announced before or after the service was
// configured, and that an unchanged endpoint stays the same object, since the balancer
// stores its statistics by endpoint.
func TestTableFollowsConfigurationAndMembers(t *testing.T) {
	n := newNode(t)
	n.announce("a", "shop/one", model.PresenceReady)
	if n.routing.Table().Load() != nil {
		t.Fatal("a table was published without a configuration")
	}
	n.publish("shop/one")
	if got := n.endpoints("shop/one"); got != 1 {
		t.Fatalf("%d endpoints, want the member known before the configuration", got)
	}
	n.announce("b", "shop/one", model.PresenceReady)
	first := n.routing.Table().Load().Destination("shop/one").Endpoints[0]
	n.announce("b", "shop/one", model.PresenceLeaving)
	if got := n.endpoints("shop/one"); got != 1 {
		t.Fatalf("%d endpoints after one member began to leave, want 1", got)
	}
	n.announce("c", "shop/two", model.PresenceReady)
	n.publish("shop/one", "shop/two")
	if got := n.endpoints("shop/two"); got != 1 {
		t.Fatalf("%d endpoints of the new service, want 1", got)
	}
	if n.routing.Table().Load().Destination("shop/one").Endpoints[0] != first {
		t.Error("an endpoint that did not change was replaced")
	}
}

// TestUnchangedStateKeepsTheTable checks that no new table is published for a repeated
// configuration, a member of an undeclared service, or a member that is not ready.
func TestUnchangedStateKeepsTheTable(t *testing.T) {
	n := newNode(t)
	n.publish("shop/one")
	before := n.routing.Table().Load()
	n.post(control.ConfigurationChanged{Configuration: n.config.snapshot.Load()})
	n.announce("z", "other/service", model.PresenceReady)
	n.announce("s", "shop/one", model.PresenceStarting)
	if n.routing.Table().Load() != before {
		t.Error("the table was replaced by an equal one")
	}
}
