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
	// convergeDomains is the number of failure domains of each mesh.
	convergeDomains = 3
	// burstChanges is the number of changes published in one burst.
	burstChanges = 20
	// largeSubtreeRoutes is the number of routes in a subtree of about 500 KB of text.
	largeSubtreeRoutes = 960
	// idleDuration is the time over which idle traffic is measured.
	idleDuration = 10 * time.Second
)

// meshSizes are the numbers of nodes of the meshes to measure.
type meshSizes []int

var defaultSizes = meshSizes{14, 50, 150}

type convergeCommand struct {
	options
	Nodes []int `help:"Numbers of nodes of the meshes to measure." default:"14,50,150"`
}

// Run performs the experiment.
func (c *convergeCommand) Run(w io.Writer) error { return c.run(w, meshSizes(c.Nodes).converge) }

func (sizes meshSizes) converge(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Convergence and control bytes",
		Setup: fmt.Sprintf("real node processes in %d failure domains; bytes are received plus sent per node; seed %d", convergeDomains, o.Seed),
		Columns: []string{
			"nodes", "change", "in force after", "bytes per node", "platform calls",
		},
	}
	for _, nodes := range sizes {
		rows, err := measureConvergence(ctx, o, nodes)
		if err != nil {
			return table, err
		}
		table.Rows = append(table.Rows, rows...)
	}
	return table, nil
}

// measureConvergence starts a mesh of nodes and returns one row for each change that
// it measures.
func measureConvergence(ctx context.Context, o options, nodes int) ([][]string, error) {
	document := documentSettings{queue: boundedQueue, uploadClass: "long", deadline: readDeadline}
	m, err := startMesh(ctx, o, meshSettings{workers: nodes, domains: convergeDomains, document: document})
	if err != nil {
		return nil, err
	}
	e := convergenceExperiment{mesh: m, document: document, client: status.NewClient(status.DefaultTimeout)}
	rows, err := e.measure(ctx)
	if err != nil {
		return nil, closeOnError(m, err)
	}
	return rows, m.Close(closeTimeout)
}

// convergenceExperiment publishes changes to a running mesh and measures their
// convergence.
type convergenceExperiment struct {
	mesh     *mesh.Mesh
	document documentSettings
	client   *status.Client
	// padding is YAML text appended to every published document.
	padding string
}

func (e *convergenceExperiment) measure(ctx context.Context) ([][]string, error) {
	idle, err := e.measureChange(ctx, "none, for "+idleDuration.String(), func() (uint64, error) {
		return e.mesh.Platform.Revision(), pause(ctx, idleDuration)
	})
	if err != nil {
		return nil, err
	}
	rows := [][]string{idle}
	steps := []struct {
		name    string
		publish func() (uint64, error)
	}{
		{"one leaf", e.publishLeafChange},
		{fmt.Sprintf("burst of %d", burstChanges), e.publishBurst},
		{"500 KB subtree, new", e.publishLargeSubtree},
		{"500 KB subtree, one leaf", e.publishLeafChange},
	}
	for _, step := range steps {
		row, err := e.measureChange(ctx, step.name, step.publish)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measureChange calls publish, waits until all nodes run the revision that it
// returns, and returns the row of the change.
func (e *convergenceExperiment) measureChange(ctx context.Context, name string, publish func() (uint64, error)) ([]string, error) {
	bytesBefore, callsBefore := e.controlBytes(ctx), e.mesh.Platform.Counters().Calls
	revision, err := publish()
	if err != nil {
		return nil, err
	}
	elapsed, err := waitForVersion(ctx, e.mesh, revision, 0)
	if err != nil {
		return nil, err
	}
	nodes := uint64(len(e.mesh.Nodes))
	return []string{
		fmt.Sprint(nodes), name, milliseconds(elapsed),
		fmt.Sprintf("%.0f", float64(e.controlBytes(ctx)-bytesBefore)/float64(nodes)),
		fmt.Sprint(e.mesh.Platform.Counters().Calls - callsBefore),
	}, nil
}

// controlBytes returns the sum of the control bytes that all nodes received and
// sent. Nodes without a readable report are left out.
func (e *convergenceExperiment) controlBytes(ctx context.Context) uint64 {
	var sum uint64
	for _, n := range e.mesh.Nodes {
		report, err := e.client.Report(ctx, n.Addresses().Operator)
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
func (e *convergenceExperiment) publishLeafChange() (uint64, error) {
	e.document.deadline += time.Millisecond
	return e.mesh.Platform.Put("teams/"+serviceName, []byte(e.document.yaml()+e.padding))
}

func (e *convergenceExperiment) publishBurst() (uint64, error) {
	var last uint64
	for range burstChanges {
		revision, err := e.publishLeafChange()
		if err != nil {
			return 0, err
		}
		last = revision
	}
	return last, nil
}

// publishLargeSubtree adds routes to the document, so that it has about 500 KB, and
// publishes it.
func (e *convergenceExperiment) publishLargeSubtree() (uint64, error) {
	var b strings.Builder
	for i := range largeSubtreeRoutes {
		fmt.Fprintf(&b, `  filler-%d:
    hosts: [stock.example]
    path: /filler/%d/%s/
    service: stock
    idempotent: true
    class: short
    deadline: 2s
    retry: {attempts: 3, budget_percent: 20}
`, i, i, strings.Repeat("x", 350))
	}
	e.padding = b.String()
	return e.publishLeafChange()
}
