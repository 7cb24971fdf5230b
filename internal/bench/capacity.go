package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/standin/platform"
	"github.com/galenalever/galenalever/internal/status"
)

// The size and the rates of the users' target deployment. The defaults of --services
// and --instances repeat targetServices and targetNodes.
const (
	targetServices = 3_400
	targetNodes    = 21_000
	targetDomains  = 11
	// targetChanges and targetEvents are rates per second: 47,000 changes a day,
	// and 8,310 instance events a day with two to three state changes each.
	targetChanges = 0.54
	targetEvents  = 0.3
	// capacityNodes is the number of real nodes, all in one failure domain: three
	// read the platform, three serve other nodes and six serve none.
	capacityNodes = 12
	// servicesPerTeam is the number of services in one team's document.
	servicesPerTeam = 10
	// loadTimeout is the time limit of the initial load of the whole state.
	loadTimeout = 3 * time.Minute
	// settleTime is the pause after the initial load, so that work still pending
	// from it does not count in the measurement.
	settleTime = 20 * time.Second
)

type capacityCommand struct {
	options
	Services  int           `help:"Declared services." default:"3400"`
	Instances int           `help:"Listed instances." default:"21000"`
	Rate      float64       `help:"Multiple of the target's rate of changes and instance events." default:"1"`
	Lasts     time.Duration `help:"Time over which usage is measured." default:"60s"`
}

// Run performs the experiment.
func (c *capacityCommand) Run(w io.Writer) error { return c.run(w, c.measure) }

func (c *capacityCommand) measure(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "What a node spends for control",
		Setup: fmt.Sprintf("%d services, %d instances, %.2f changes/s and %.2f instance events/s for %s; %d real nodes of one failure domain; seed %d",
			c.Services, c.Instances, c.Rate*targetChanges, c.Rate*targetEvents, c.Lasts, capacityNodes, o.Seed),
		Columns: []string{"role", "nodes", "core", "memory", "highest memory", "received", "sent", "loop busy", "loaded after"},
	}
	m, err := mesh.New(mesh.Config{
		Deployment: mesh.Deployment{
			Domains:  []string{"domain-1"},
			Services: []mesh.Service{{Name: teamName(0) + "/service-0", Instances: capacityNodes}},
		},
		Program: o.daemonPath(),
		Seed:    o.Seed,
	})
	if err != nil {
		return table, err
	}
	e := &capacityExperiment{command: c, mesh: m, client: status.NewClient(status.DefaultTimeout), random: rand.New(rand.NewPCG(o.Seed, o.Seed))}
	if table.Rows, err = e.measure(ctx); err != nil {
		return table, closeOnError(m, err)
	}
	return table, m.Close(closeTimeout)
}

// capacityExperiment measures a few real nodes that have the configuration and the
// members of a large mesh.
type capacityExperiment struct {
	command  *capacityCommand
	mesh     *mesh.Mesh
	client   *status.Client
	random   *rand.Rand
	revision uint64
	// publishCount is the number of published documents. A deadline depends on it,
	// so that each new version differs.
	publishCount int
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

func (e *capacityExperiment) teams() int {
	return (e.command.Services + servicesPerTeam - 1) / servicesPerTeam
}

func (e *capacityExperiment) measure(ctx context.Context) ([][]string, error) {
	if err := e.publishAll(); err != nil {
		return nil, err
	}
	start := time.Now()
	if err := e.mesh.Start(ctx); err != nil {
		return nil, err
	}
	if err := e.waitUntilLoaded(ctx); err != nil {
		return nil, err
	}
	loaded := time.Since(start)
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	before, err := e.observe(ctx)
	if err != nil {
		return nil, err
	}
	if err := e.churn(ctx); err != nil {
		return nil, err
	}
	after, err := e.observe(ctx)
	if err != nil {
		return nil, err
	}
	return e.rows(before, after, loaded), nil
}

// publishAll publishes all documents and lists the simulated instances, which are
// in other failure domains than the real nodes.
func (e *capacityExperiment) publishAll() error {
	var root strings.Builder
	root.WriteString("teams:\n")
	for i := range e.teams() {
		fmt.Fprintf(&root, "  %s: {hosts: [%s.example], paths: [/]}\n", teamName(i), teamName(i))
	}
	if _, err := e.mesh.Platform.Put("root", []byte(root.String())); err != nil {
		return err
	}
	for i := range e.teams() {
		if err := e.publishTeam(i); err != nil {
			return err
		}
	}
	for i := range e.command.Instances - capacityNodes {
		e.mesh.Platform.PutInstance(e.simulatedInstance(i, platform.StateLive))
	}
	return nil
}

func (e *capacityExperiment) publishTeam(team int) error {
	e.publishCount++
	var services, routes strings.Builder
	for i := range servicesPerTeam {
		n := team*servicesPerTeam + i
		fmt.Fprintf(&services, "  service-%d: {slots: 6, long_slots: 2, queue: 32}\n", n)
		deadline := 1000
		if i == 0 {
			deadline += e.publishCount % 1000
		}
		fmt.Fprintf(&routes, `  route-%d:
    hosts: [%s.example]
    path: /service-%d/
    service: service-%d
    idempotent: true
    class: short
    deadline: %dms
    retry: {attempts: 3, budget_percent: 20}
`, n, teamName(team), n, n, deadline)
	}
	text := fmt.Sprintf("team: %s\nservices:\n%sroutes:\n%s", teamName(team), services.String(), routes.String())
	revision, err := e.mesh.Platform.Put("teams/"+teamName(team), []byte(text))
	e.revision = revision
	return err
}

// simulatedInstance returns an instance that is listed but has no process.
func (e *capacityExperiment) simulatedInstance(i int, state string) platform.Instance {
	// Service 0 belongs to the real nodes and gets no simulated instances, which
	// would not respond.
	n := 1 + i%(e.command.Services-1)
	address := fmt.Sprintf("127.1.%d.%d", i>>8&0xff, i&0xff)
	return platform.Instance{
		ID:       fmt.Sprintf("instance-%05d", i),
		Service:  fmt.Sprintf("%s/service-%d", teamName(n/servicesPerTeam), n),
		Domain:   fmt.Sprintf("domain-%d", 2+i%(targetDomains-1)),
		Traffic:  address + ":7001",
		Control:  address + ":7002",
		Operator: address + ":7003",
		State:    state,
	}
}

// waitUntilLoaded waits until every node runs the newest revision and knows all
// instances.
func (e *capacityExperiment) waitUntilLoaded(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for _, n := range e.mesh.Nodes {
		for {
			report, err := e.client.Report(loadCtx, n.Addresses().Operator)
			if err == nil && uint64(report.Version.Cut) >= e.revision && report.Members >= e.command.Instances {
				break
			}
			if err := pause(loadCtx, pollInterval); err != nil {
				return fmt.Errorf("node %s has not loaded the newest revision and all instances: %w", n.ID, err)
			}
		}
	}
	return nil
}

// churn publishes changes and instance events at the target rates times Rate for
// the time of measurement.
func (e *capacityExperiment) churn(ctx context.Context) error {
	phases := []phase{{rate: e.command.Rate * (targetChanges + targetEvents), duration: e.command.Lasts}}
	start := time.Now()
	for _, a := range poissonSchedule(phases, e.command.Seed) {
		if err := pause(ctx, time.Until(start.Add(a.offset))); err != nil {
			return err
		}
		if err := e.applyRandomChange(); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(start.Add(e.command.Lasts)))
}

// applyRandomChange publishes a change of a random team's document or a new state
// of a random simulated instance.
func (e *capacityExperiment) applyRandomChange() error {
	if e.random.Float64() < targetChanges/(targetChanges+targetEvents) {
		return e.publishTeam(e.random.IntN(e.teams()))
	}
	states := []string{platform.StateLive, platform.StateLeaving}
	i := e.random.IntN(e.command.Instances - capacityNodes)
	e.mesh.Platform.PutInstance(e.simulatedInstance(i, states[e.random.IntN(len(states))]))
	return nil
}
