package balancer_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/balancer"
	"github.com/galenalever/galenalever/internal/timeline"
)

type events struct{ list []string }

func (*events) Name() string { return control.Timeline }

func (e *events) Record(kind timeline.Kind, detail string) {
	e.list = append(e.list, string(kind)+" "+detail)
}

// server is a simulated backend server.
type server struct {
	latency time.Duration
	reason  model.Reason // the refusal of every request; empty if it answers
	load    balance.Load
	picks   int
}

// answer is an attempt that ends at a time to come.
type answer struct {
	due      time.Time
	endpoint *route.Endpoint
	report   balance.Report
}

// policy drives one balancer on a fake clock against simulated servers.
type policy struct {
	fake     *clock.Fake
	kernel   *kernel.Kernel
	events   *events
	balancer *balancer.Service
	service  *model.Service
	table    *route.Table
	members  []model.Member
	servers  map[string]*server
	pending  []answer
}

func newPolicy(t testing.TB) *policy {
	p := &policy{
		fake: clock.NewFake(time.Unix(1_700_000_000, 0)), events: &events{},
		service: &model.Service{Name: "shop/catalog", Slots: 6, Queue: 12},
		servers: make(map[string]*server),
	}
	p.balancer = balancer.New(balancer.Config{
		Self:   model.Self{ID: "caller", Domain: "jkt"},
		Random: rand.NewPCG(1, 2),
	})
	p.kernel = kernel.New(p.fake, slog.New(slog.DiscardHandler))
	if err := p.kernel.Register(p.events, p.balancer); err != nil {
		t.Fatal(err)
	}
	if err := p.kernel.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.kernel.Stop(context.Background()) })
	return p
}

// TestPolicy runs testdata/*: how the choice of a server follows what the
// servers do.
func TestPolicy(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := newPolicy(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "service":
				p.service.SlowStart = duration(t, d, "slow-start")
			case "servers":
				p.changeServers(t, d)
			case "run":
				return p.run(t, d)
			case "pass":
				p.fake.Advance(duration(t, d, "time"))
			case "events":
				defer func() { p.events.list = nil }()
				return strings.Join(p.events.list, "\n")
			default:
				d.Fatalf(t, "unknown command")
			}
			return ""
		})
	})
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	value := "0s"
	d.MaybeScanArgs(t, key, &value)
	parsed, err := time.ParseDuration(value)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// changeServers reads lines of "name key=value...": domain, latency, refuse,
// queued, or gone. Unnamed servers stay as they are.
func (p *policy) changeServers(t *testing.T, d *datadriven.TestData) {
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		if p.servers[fields[0]] == nil {
			p.servers[fields[0]] = &server{latency: 2 * time.Millisecond}
			p.members = append(p.members, model.Member{
				ID: model.InstanceID(fields[0]), Service: p.service.Name, Domain: "jkt",
				Addresses: model.Addresses{Traffic: fields[0] + ":80"}, Listed: model.ListingLive,
			})
		}
		for _, field := range fields[1:] {
			p.change(t, fields[0], field)
		}
	}
	tree := &model.Tree{Services: map[model.ServiceName]*model.Service{p.service.Name: p.service}}
	if p.table == nil {
		p.table = route.Empty().WithTree(tree, func(model.ServiceName) []model.Member { return p.members })
		return
	}
	p.table = p.table.WithMembers(p.service.Name, p.members)
}

func (p *policy) change(t *testing.T, name, field string) {
	s := p.servers[name]
	member := &p.members[slices.IndexFunc(p.members, func(m model.Member) bool { return string(m.ID) == name })]
	key, value, _ := strings.Cut(field, "=")
	var err error
	switch key {
	case "domain":
		member.Domain = model.FailureDomain(value)
	case "latency":
		s.latency, err = time.ParseDuration(value)
	case "refuse":
		s.reason = model.Reason(value)
	case "queued":
		s.load.Queued, err = strconv.Atoi(value)
	case "gone":
		member.Listed = model.ListingRemoved
	default:
		t.Fatalf("unknown key %q", key)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// run sends requests at a fixed interval and prints how many each server got.
func (p *policy) run(t *testing.T, d *datadriven.TestData) string {
	requests, refused := 100, 0
	d.MaybeScanArgs(t, "requests", &requests)
	interval := duration(t, d, "interval")
	destination := p.table.Destination(p.service.Name)
	for range requests {
		p.deliver()
		if endpoint, _ := p.balancer.Pick(destination, model.ClassShort, 0, nil); endpoint != nil {
			p.begin(endpoint)
		} else {
			refused++
		}
		p.fake.Advance(interval)
	}
	return p.picks(refused)
}

func (p *policy) begin(e *route.Endpoint) {
	s := p.servers[string(e.ID.Instance)]
	s.picks++
	a := answer{due: p.fake.Now().Add(s.latency), endpoint: e}
	a.report = balance.Report{Outcome: model.OutcomeAnswered, Reported: true, Load: s.load, Latency: s.latency}
	if s.reason != "" {
		a.due = p.fake.Now()
		a.report = balance.Report{
			Outcome: model.OutcomeNotRun, Reason: s.reason, Reported: s.reason != model.ReasonUnreachable, Load: s.load,
		}
	}
	p.pending = append(p.pending, a)
}

// deliver reports the attempts that have ended by now, in order.
func (p *policy) deliver() {
	slices.SortStableFunc(p.pending, func(a, b answer) int { return a.due.Compare(b.due) })
	for len(p.pending) > 0 && !p.pending[0].due.After(p.fake.Now()) {
		p.balancer.Done(p.pending[0].endpoint, model.ClassShort, p.pending[0].report)
		p.pending = p.pending[1:]
	}
}

func (p *policy) picks(refused int) string {
	var names []string
	for name := range p.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s %d\n", name, p.servers[name].picks)
		p.servers[name].picks = 0
	}
	if refused > 0 {
		fmt.Fprintf(&b, "no server %d\n", refused)
	}
	return b.String()
}
