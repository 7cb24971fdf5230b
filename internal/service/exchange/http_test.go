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

// receivedCapacity is more than the deltas that a test waits for.
const receivedCapacity = 8

// partners stands for the time line and the config service.
type partners struct {
	clock *timeline.Clock
	state *kernel.Snapshot[*model.Configuration]
}

type events struct{ *partners }

func (events) Name() string                 { return control.Timeline }
func (events) Record(timeline.Kind, string) {}
func (e events) Clock() *timeline.Clock     { return e.clock }

type configuration struct {
	*partners
	received chan control.DeltaReceived
}

func (configuration) Name() string { return control.Config }

func (c configuration) Configuration() *kernel.Snapshot[*model.Configuration] { return c.state }

func (c configuration) Provision(k *kernel.Context) error {
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
	config     configuration
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
	shared := &partners{clock: timeline.NewClock(clock.System{}), state: kernel.NewSnapshot(state)}
	n := &testNode{
		kernel:     kernel.New(clock.System{}, slog.New(slog.DiscardHandler)),
		membership: membership.New(membership.Config{Self: self}),
		config:     configuration{partners: shared, received: make(chan control.DeltaReceived, receivedCapacity)},
		address:    self.Addresses.Control,
	}
	n.exchange = exchange.New(exchange.Config{Self: self, Listener: listener, Seeds: seeds, BootstrapFor: time.Minute})
	if err := n.kernel.Register(events{shared}, watchdog.New(watchdog.Config{}), n.config, n.membership, n.exchange); err != nil {
		t.Fatal(err)
	}
	if err := n.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.kernel.Stop(context.Background()) })
	return n
}

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
		t.Errorf("%d bytes received and %d sent", received, sent)
	}
}

// holding returns the state of a node that holds a faulty version back and runs
// an older one.
func holding(running model.Revision) *model.Configuration {
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

// TestFreshProcessHearsWhatAllPeersRun checks that a process which meets a node
// that holds a version back also asks the others what they run instead: nodes
// with the same cut can run different versions.
func TestFreshProcessHearsWhatAllPeersRun(t *testing.T) {
	first := startNodeWith(t, "katalog-1", holding(3))
	second := startNodeWith(t, "katalog-2", holding(5))
	fresh := startNode(t, "katalog-3", 0, first.address, second.address)
	var heard []model.Revision
	over := time.After(5 * time.Second)
	for len(heard) < 2 {
		select {
		case got := <-fresh.config.received:
			if got.Delta.Bootstrap {
				heard = append(heard, got.Delta.Running[0].Subtree.Revision)
			}
		case <-over:
			t.Fatalf("heard of the running versions %v, want 3 and 5", heard)
		}
	}
	slices.Sort(heard)
	if !slices.Equal(heard, []model.Revision{3, 5}) {
		t.Errorf("heard of the running versions %v, want 3 and 5", heard)
	}
}

// awaitMember waits for the view to hold an instance; the test's own timeout
// bounds it.
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
			t.Fatalf("%s is not known", id)
		}
	}
}

func TestRequestsCarryNoNeedlessHeaders(t *testing.T) {
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
			t.Errorf("header %s is sent", name)
		}
	}
}

func TestServerRefusesOversizedRequests(t *testing.T) {
	n := startNode(t, "katalog-1", 7)
	body := bytes.NewReader(make([]byte, 8<<20))
	response, err := http.Post("http://"+n.address+"/twirp/galenalever.wire.Exchange/Announce", "application/protobuf", body)
	if err != nil {
		return // the server closed the connection while the body was sent
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		t.Error("a request of 8 MiB was taken")
	}
}
