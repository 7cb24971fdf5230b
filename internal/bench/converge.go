package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/status"
)

const (
	// convergeDomains is the number of failure domains of the fleets.
	convergeDomains = 3
	// burstChanges is the number of changes published in one burst.
	burstChanges = 20
	// largeSubtreeRoutes is the number of routes in a subtree of about 500 KB of text.
	largeSubtreeRoutes = 960
	// idleDuration is the time over which idle traffic is measured.
	idleDuration = 10 * time.Second
)

// fleetSizes are the numbers of nodes of the fleets to measure.
type fleetSizes []int

var defaultSizes = fleetSizes{14, 50, 150}

type convergeCommand struct {
	options
	Nodes []int `help:"Sizes of the fleets." default:"14,50,150"`
}

// Run performs the experiment.
func (c *convergeCommand) Run(w io.Writer) error { return c.run(w, fleetSizes(c.Nodes).converge) }

func (sizes fleetSizes) converge(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Convergence and control bytes",
		Setup: fmt.Sprintf("real node processes in %d failure domains; bytes are received plus sent per node; seed %d", convergeDomains, o.Seed),
		Columns: []string{
			"nodes", "change", "in force after", "bytes per node", "platform calls",
		},
	}
	for _, nodes := range sizes {
		rows, err := convergeFleet(ctx, o, nodes)
		if err != nil {
			return table, err
		}
		table.Rows = append(table.Rows, rows...)
	}
	return table, nil
}

// convergeFleet starts a fleet of nodes and returns one row for each change that it
// measures.
func convergeFleet(ctx context.Context, o options, nodes int) ([][]string, error) {
	document := documentSettings{queue: boundedQueue, uploadClass: "long", deadline: readDeadline}
	m, err := startMesh(ctx, o, meshSettings{workers: nodes, domains: convergeDomains, document: document})
	if err != nil {
		return nil, err
	}
	f := fleet{mesh: m, document: document, client: status.NewClient(status.DefaultTimeout)}
	rows, err := f.measure(ctx)
	if err != nil {
		return nil, closeOnError(m, err)
	}
	return rows, m.Close(closeTimeout)
}

// fleet publishes changes to a running mesh and measures their convergence.
type fleet struct {
	mesh     *mesh.Mesh
	document documentSettings
	client   *status.Client
	// padding is YAML text appended to every published document.
	padding string
}

func (f *fleet) measure(ctx context.Context) ([][]string, error) {
	idle, err := f.measureChange(ctx, "none, for "+idleDuration.String(), func() (uint64, error) {
		return f.mesh.Platform.Revision(), pause(ctx, idleDuration)
	})
	if err != nil {
		return nil, err
	}
	rows := [][]string{idle}
	steps := []struct {
		name    string
		publish func() (uint64, error)
	}{
		{"one leaf", f.publishLeafChange},
		{fmt.Sprintf("burst of %d", burstChanges), f.publishBurst},
		{"500 KB subtree, new", f.publishLargeSubtree},
		{"500 KB subtree, one leaf", f.publishLeafChange},
	}
	for _, step := range steps {
		row, err := f.measureChange(ctx, step.name, step.publish)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measureChange calls publish, waits until all nodes run the revision that it
// returns, and returns the row of the change.
func (f *fleet) measureChange(ctx context.Context, name string, publish func() (uint64, error)) ([]string, error) {
	bytesBefore, callsBefore := f.controlBytes(ctx), f.mesh.Platform.Counters().Calls
	revision, err := publish()
	if err != nil {
		return nil, err
	}
	elapsed, err := waitForVersion(ctx, f.mesh, revision, 0)
	if err != nil {
		return nil, err
	}
	nodes := uint64(len(f.mesh.Nodes))
	return []string{
		fmt.Sprint(nodes), name, milliseconds(elapsed),
		fmt.Sprintf("%.0f", float64(f.controlBytes(ctx)-bytesBefore)/float64(nodes)),
		fmt.Sprint(f.mesh.Platform.Counters().Calls - callsBefore),
	}, nil
}

// controlBytes returns the sum of the control bytes that all nodes received and
// sent. Nodes without a readable report are left out.
func (f *fleet) controlBytes(ctx context.Context) uint64 {
	var sum uint64
	for _, n := range f.mesh.Nodes {
		report, err := f.client.Report(ctx, n.Addresses().Operator)
		if err != nil {
			continue
		}
		var count uint64
		if _, err := fmt.Sscan(report.ControlBytes(), &count); err == nil {
			sum += count
		}
	}
	return sum
}

// publishLeafChange publishes the document with another deadline, which is a
// change of one leaf.
func (f *fleet) publishLeafChange() (uint64, error) {
	f.document.deadline += time.Millisecond
	return f.mesh.Platform.Put("teams/"+serviceName, []byte(f.document.yaml()+f.padding))
}

func (f *fleet) publishBurst() (uint64, error) {
	var last uint64
	for range burstChanges {
		revision, err := f.publishLeafChange()
		if err != nil {
			return 0, err
		}
		last = revision
	}
	return last, nil
}

// publishLargeSubtree adds routes to the document, so that it has about 500 KB, and
// publishes it.
func (f *fleet) publishLargeSubtree() (uint64, error) {
	var b strings.Builder
	for i := range largeSubtreeRoutes {
		fmt.Fprintf(&b, `  filler-%d:
    hosts: [stock.example]
    path: /filler/%d/%s
    service: stock
    idempotent: true
    class: short
    deadline: 2s
    retry: {attempts: 3, budget_percent: 20}
`, i, i, strings.Repeat("x", 350))
	}
	f.padding = b.String()
	return f.publishLeafChange()
}
