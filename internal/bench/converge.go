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
	// burstChanges is the number of changes published at once.
	burstChanges = 20
	// largeRoutes makes the large subtree about 500 KB of text.
	largeRoutes = 960
	// quiet is the time over which idle traffic is measured.
	quiet = 10 * time.Second
)

// fleetSizes are the numbers of nodes to measure.
type fleetSizes []int

var defaultSizes = fleetSizes{14, 50, 150}

type convergeCommand struct {
	options
	Nodes []int `help:"Sizes of the fleets." default:"14,50,150"`
}

// Run implements the command.
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
		rows, err := convergeAt(ctx, o, nodes)
		if err != nil {
			return table, err
		}
		table.Rows = append(table.Rows, rows...)
	}
	return table, nil
}

// convergeAt measures one fleet.
func convergeAt(ctx context.Context, o options, nodes int) ([][]string, error) {
	tree := treeSettings{queue: boundedQueue, uploadClass: "long", deadline: crestDeadline}
	m, err := startMesh(ctx, o, meshSettings{workers: nodes, domains: convergeDomains, tree: tree})
	if err != nil {
		return nil, err
	}
	f := fleet{mesh: m, tree: tree, client: status.NewClient(status.DefaultTimeout)}
	rows, err := f.measure(ctx)
	if err != nil {
		return nil, closeAfter(m, err)
	}
	return rows, m.Close(closeLimit)
}

// fleet measures changes on one running mesh.
type fleet struct {
	mesh   *mesh.Mesh
	tree   treeSettings
	client *status.Client
	// padding is text that follows the tree in every document.
	padding string
}

func (f *fleet) measure(ctx context.Context) ([][]string, error) {
	idle, err := f.change(ctx, "none, for "+quiet.String(), func() (uint64, error) {
		return f.mesh.Platform.Revision(), pause(ctx, quiet)
	})
	if err != nil {
		return nil, err
	}
	rows := [][]string{idle}
	steps := []struct {
		name    string
		publish func() (uint64, error)
	}{
		{"one leaf", f.publishNext},
		{fmt.Sprintf("burst of %d", burstChanges), f.publishBurst},
		{"500 KB subtree, new", f.publishLarge},
		{"500 KB subtree, one leaf", f.publishNext},
	}
	for _, step := range steps {
		row, err := f.change(ctx, step.name, step.publish)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// change publishes something, waits until all nodes run it, and returns the row.
func (f *fleet) change(ctx context.Context, name string, publish func() (uint64, error)) ([]string, error) {
	bytesBefore, callsBefore := f.controlBytes(ctx), f.mesh.Platform.Counters().Calls
	revision, err := publish()
	if err != nil {
		return nil, err
	}
	took, err := waitForVersion(ctx, f.mesh, revision, 0)
	if err != nil {
		return nil, err
	}
	nodes := uint64(len(f.mesh.Nodes))
	return []string{
		fmt.Sprint(nodes), name, milliseconds(took),
		fmt.Sprintf("%.0f", float64(f.controlBytes(ctx)-bytesBefore)/float64(nodes)),
		fmt.Sprint(f.mesh.Platform.Counters().Calls - callsBefore),
	}, nil
}

// controlBytes sums what all nodes received and sent for control.
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

// publishNext changes one leaf.
func (f *fleet) publishNext() (uint64, error) {
	f.tree.deadline += time.Millisecond
	return f.mesh.Platform.Put("teams/"+serviceName, []byte(f.tree.text()+f.padding))
}

func (f *fleet) publishBurst() (uint64, error) {
	var last uint64
	for range burstChanges {
		revision, err := f.publishNext()
		if err != nil {
			return 0, err
		}
		last = revision
	}
	return last, nil
}

// publishLarge adds routes until the document has about 500 KB.
func (f *fleet) publishLarge() (uint64, error) {
	var b strings.Builder
	for i := range largeRoutes {
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
	return f.publishNext()
}
