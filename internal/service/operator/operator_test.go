package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/metrics"
	"github.com/galenalever/galenalever/internal/service/operator"
	"github.com/galenalever/galenalever/internal/service/timeline"
	events "github.com/galenalever/galenalever/internal/timeline"
)

// fakeConfig replaces the config service.
type fakeConfig struct {
	snapshot *kernel.Snapshot[*model.Configuration]
}

func (*fakeConfig) Name() string { return control.Config }

func (f *fakeConfig) Configuration() *kernel.Snapshot[*model.Configuration] { return f.snapshot }

// fakeMembership replaces the membership service.
type fakeMembership struct {
	snapshot *kernel.Snapshot[*members.View]
}

func (*fakeMembership) Name() string { return control.Membership }

func (f *fakeMembership) View() *kernel.Snapshot[*members.View] { return f.snapshot }

// node is a node that serves only the operator port.
type node struct {
	config   *fakeConfig
	members  *fakeMembership
	timeline *timeline.Service
	metrics  *metrics.Service
	operator *operator.Service
	url      string
}

func startNode(t *testing.T) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := clock.NewFake(time.UnixMilli(1000))
	n := &node{
		config:   &fakeConfig{kernel.NewSnapshot[*model.Configuration](nil)},
		members:  &fakeMembership{kernel.NewSnapshot(members.New(1))},
		timeline: timeline.New(timeline.Config{Instance: "katalog-1", Clock: fake}),
		metrics:  metrics.New(metrics.Config{Tags: map[string]string{"domain": "jkt"}}),
		operator: operator.New(operator.Config{
			Listener: listener,
			Self:     model.Self{ID: "katalog-1", Service: "toko/katalog", Domain: "jkt", Incarnation: 7},
		}),
		url: "http://" + listener.Addr().String(),
	}
	k := kernel.New(fake, slog.New(slog.DiscardHandler))
	if err := k.Register(n.timeline, n.metrics, n.operator, n.config, n.members); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return n
}

// TestOperatorPort runs the scenarios in testdata, which detect changes of the pages
// that operators and their tools read. The command "get" requests a path; the other
// commands change the state that the pages show.
func TestOperatorPort(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		n := startNode(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return n.run(t, d)
		})
	})
}

func (n *node) run(t *testing.T, d *datadriven.TestData) string {
	input := d.Input // d is reused by the next command
	switch d.Cmd {
	case "get":
		return n.get(t, d.CmdArgs[0].String())
	case "configure":
		n.config.snapshot.Store(configuration())
	case "announce":
		self := model.Self{ID: "katalog-1", Service: "toko/katalog", Domain: "jkt", Incarnation: 7}
		view, _ := n.members.snapshot.Load().With(self.Member(model.PresenceReady))
		n.members.snapshot.Store(view)
	case "section":
		n.operator.AddStatus(d.CmdArgs[0].Key, func() any { return map[string]string{"state": input} })
	case "invalid-section":
		n.operator.AddStatus(d.CmdArgs[0].Key, func() any { return func() {} })
	case "condition":
		n.operator.AddReadiness(d.CmdArgs[0].Key, func() error { return errors.New(input) })
	case "record":
		n.timeline.Record(events.Kind(d.CmdArgs[0].Key), d.Input)
	case "report":
		recordMetrics(n.metrics.Scope())
		if err := n.metrics.Stop(t.Context()); err != nil { // flushes all metrics
			t.Fatal(err)
		}
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func configuration() *model.Configuration {
	held := model.HeldSubtree{Key: "teams/b", Revision: 9}
	held.Findings.Addf(findings.Location{Source: "teams/b", Line: 3}, "no such service")
	return &model.Configuration{
		Cut:     model.Cut{Revision: 9},
		Running: map[model.Key]*model.Subtree{"root": {Revision: 1}, "teams/a": {Revision: 4}, "teams/c": {Revision: 5, Removed: true}},
		Held:    []model.HeldSubtree{held},
		Tree:    &model.Tree{},
	}
}

func recordMetrics(scope tally.Scope) {
	scope.Counter("requests").Inc(2)
	scope.Counter("requests").Inc(3)
	scope.Tagged(map[string]string{"class": "long"}).Gauge("queue").Update(1.5)
	scope.Timer("exchange").Record(time.Second)
	scope.Timer("exchange").Record(3 * time.Second)
	h := scope.Histogram("latency", tally.DurationBuckets{time.Millisecond, time.Second})
	h.RecordDuration(2 * time.Millisecond)
	h.RecordDuration(time.Minute)
}

func (n *node) get(t *testing.T, path string) string {
	response, err := http.Get(n.url + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	text := string(body)
	if path == "/status" {
		text = withoutLoop(t, body)
	}
	return fmt.Sprintf("%d\n%s", response.StatusCode, text)
}

// withoutLoop indents a status report and removes the statistics of the control
// loop, which depend on the machine.
func withoutLoop(t *testing.T, body []byte) string {
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	delete(fields, "loop")
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(fields); err != nil {
		t.Fatal(err)
	}
	return b.String()
}
