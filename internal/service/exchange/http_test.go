package exchange_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/exchange"
	"github.com/galenalever/galenalever/internal/service/membership"
	"github.com/galenalever/galenalever/internal/service/watchdog"
	"github.com/galenalever/galenalever/internal/timeline"
)

// receivedCapacity is larger than the number of deltas that a test waits for.
const receivedCapacity = 8

// nodeState is the state that the fake timeline and config services of a node share.
type nodeState struct {
	clock *timeline.Clock
	state *kernel.Snapshot[*model.Configuration]
}

type fakeTimeline struct{ *nodeState }

func (fakeTimeline) Name() string                 { return control.Timeline }
func (fakeTimeline) Record(timeline.Kind, string) {}
func (f fakeTimeline) Clock() *timeline.Clock     { return f.clock }

type fakeConfig struct {
	*nodeState
	received chan control.DeltaReceived
}

func (fakeConfig) Name() string { return control.Config }

func (c fakeConfig) Configuration() *kernel.Snapshot[*model.Configuration] { return c.state }

func (c fakeConfig) Provision(k *kernel.Context) error {
	kernel.Subscribe(k.Loop, func(m control.DeltaReceived) {
		next := &model.Configuration{Cut: model.Cut{Revision: m.Delta.Revision}}
		c.state.Store(next)
		k.Loop.Emit(control.ConfigurationChanged{Configuration: next})
		select {
		case c.received <- m:
		default:
		}
	})
	kernel.Subscribe(k.Loop, func(control.ReadScopeChanged) {})
	kernel.Subscribe(k.Loop, func(control.MembersChanged) {})
	return nil
}

// testNode is a node with a real listener on the loopback interface.
type testNode struct {
	kernel     *kernel.Kernel
	exchange   *exchange.Service
	membership *membership.Service
	config     fakeConfig
	address    string
}

func startNode(t *testing.T, id model.InstanceID, revision model.Revision, seeds ...string) *testNode {
	t.Helper()
	return startNodeWith(t, id, &model.Configuration{Cut: model.Cut{Revision: revision}}, seeds...)
}

func startNodeWith(t *testing.T, id model.InstanceID, state *model.Configuration, seeds ...string) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := model.Self{ID: id, Service: "katalog/katalog", Domain: "jkt", Incarnation: 1}
	self.Addresses.Control = listener.Addr().String()
	shared := &nodeState{clock: timeline.NewClock(clock.System{}), state: kernel.NewSnapshot(state)}
	n := &testNode{
		kernel:     kernel.New(clock.System{}, slog.New(slog.DiscardHandler)),
		membership: membership.New(membership.Config{Self: self}),
		config:     fakeConfig{nodeState: shared, received: make(chan control.DeltaReceived, receivedCapacity)},
		address:    self.Addresses.Control,
	}
	n.exchange = exchange.New(exchange.Config{Self: self, Listener: listener, Seeds: seeds, BootstrapFor: time.Minute})
	if err := n.kernel.Register(fakeTimeline{shared}, watchdog.New(watchdog.Config{}), n.config, n.membership, n.exchange); err != nil {
		t.Fatal(err)
	}
	if err := n.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.kernel.Stop(context.Background()) })
	return n
}

// TestFreshProcessBootstrapsFromASeedOverHTTP checks that a process without state gets
// the complete configuration from a seed, and that both nodes learn of each other.
func TestFreshProcessBootstrapsFromASeedOverHTTP(t *testing.T) {
	seed := startNode(t, "katalog-1", 7)
	fresh := startNode(t, "katalog-2", 0, seed.address)
	got := <-fresh.config.received
	if !got.Delta.Bootstrap || got.Delta.Revision != 7 {
		t.Errorf("delta = %+v, want a bootstrap at revision 7", got.Delta)
	}
	awaitMember(t, seed, "katalog-2")
	awaitMember(t, fresh, "katalog-1")
	if received, sent := fresh.exchange.ControlBytes(); received == 0 || sent == 0 {
		t.Errorf("%d bytes received and %d sent, want more than 0 of both", received, sent)
	}
}

// withHeldSubtree returns the configuration of a node that holds back an invalid
// version of a subtree and runs an older one.
func withHeldSubtree(running model.Revision) *model.Configuration {
	const key = model.Key("teams/a")
	faulty := &model.Subtree{Key: key, Revision: 7}
	faulty.Rejected.Addf(findings.Location{Source: string(key)}, "faulty")
	older := &model.Subtree{Key: key, Revision: running, Horizon: running}
	older.Hash = model.HashLeaves(older.Leaves)
	return &model.Configuration{
		Cut:     model.Cut{Revision: 7, Subtrees: map[model.Key]*model.Subtree{key: faulty}},
		Running: map[model.Key]*model.Subtree{key: older},
		Held:    []model.HeldSubtree{{Key: key, Revision: 7, Findings: faulty.Rejected}},
	}
}

// TestFreshProcessCollectsRunningVersionsOfAllPeers checks that a process which
// bootstraps from a node with a held subtree also requests the running versions of
// the other peers: nodes with the same cut can run different versions.
func TestFreshProcessCollectsRunningVersionsOfAllPeers(t *testing.T) {
	first := startNodeWith(t, "katalog-1", withHeldSubtree(3))
	second := startNodeWith(t, "katalog-2", withHeldSubtree(5))
	fresh := startNode(t, "katalog-3", 0, first.address, second.address)
	var received []model.Revision
	timeout := time.After(5 * time.Second)
	for len(received) < 2 {
		select {
		case got := <-fresh.config.received:
			if !got.Delta.Bootstrap {
				continue
			}
			if len(received) == 0 && (len(got.Offered) != 1 || got.Offered[0][0].Subtree.Revision+got.Delta.Running[0].Subtree.Revision != 3+5) {
				t.Errorf("the first response came with %+v, want the version of the other peer", got.Offered)
			}
			received = append(received, got.Delta.Running[0].Subtree.Revision)
		case <-timeout:
			t.Fatalf("received the running versions %v, want 3 and 5", received)
		}
	}
	slices.Sort(received)
	if !slices.Equal(received, []model.Revision{3, 5}) {
		t.Errorf("received the running versions %v, want 3 and 5", received)
	}
}

// awaitMember waits until a node's view contains an instance, bounded by the
// timeout of the test.
func awaitMember(t *testing.T, n *testNode, id model.InstanceID) {
	t.Helper()
	for {
		view, changed := n.membership.View().Watch()
		if _, ok := view.Get(id); ok {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatalf("%s is not in the view", id)
		}
	}
}

// TestRequestsCarryOnlyRequiredHeaders guards against headers that net/http adds by
// default, which would be larger than most messages.
func TestRequestsCarryOnlyRequiredHeaders(t *testing.T) {
	headers := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case headers <- r.Header:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	startNode(t, "katalog-1", 0, server.Listener.Addr().String())
	for name := range <-headers {
		if name != "Content-Type" && name != "Content-Length" {
			t.Errorf("request has the unnecessary header %s", name)
		}
	}
}

// TestServerRefusesOversizedRequests guards against requests that exhaust the memory of
// the node.
func TestServerRefusesOversizedRequests(t *testing.T) {
	n := startNode(t, "katalog-1", 7)
	body := bytes.NewReader(make([]byte, 8<<20))
	response, err := http.Post("http://"+n.address+"/twirp/galenalever.wire.Exchange/Announce", "application/protobuf", body)
	if err != nil {
		return // the server closed the connection while the body was sent
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		t.Error("a request of 8 MiB was accepted")
	}
}
