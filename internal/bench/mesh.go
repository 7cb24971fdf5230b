package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/status"
)

const (
	// serviceName is the short name of the only team and service under load.
	serviceName = "stock"
	// host is the callers' host name.
	host = "stock.example"
	// readPath and uploadPath are the two routes.
	readPath   = "/read"
	uploadPath = "/upload"
	// settleTimeout bounds the wait for all nodes to run a version.
	settleTimeout = 60 * time.Second
	// settleInterval is the time between two looks at the nodes.
	settleInterval = 20 * time.Millisecond
	// closeLimit bounds the drain of each node at the end.
	closeLimit = 10 * time.Second
)

// rootText grants the team everything that the experiments use.
const rootText = `teams:
  stock: {hosts: [stock.example], paths: [/]}
`

// treeSettings are the parts of the team's document that experiments vary.
type treeSettings struct {
	queue       int
	uploadClass string
	hedgeAfter  time.Duration
	deadline    time.Duration
}

// text returns the team's document.
func (s treeSettings) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, `team: stock
services:
  stock: {slots: 6, long_slots: 2, queue: %d, slow_start: 1s}
routes:
  read:
    hosts: [stock.example]
    path: /read
    service: stock
    idempotent: true
    class: short
    deadline: %s
    retry: {attempts: 3, budget_percent: 20}
`, s.queue, s.deadline)
	if s.hedgeAfter > 0 {
		fmt.Fprintf(&b, "    hedge: {after: %s, budget_percent: 10}\n", s.hedgeAfter)
	}
	fmt.Fprintf(&b, `  upload:
    hosts: [stock.example]
    path: /upload
    service: stock
    idempotent: false
    class: %s
    deadline: 60s
`, s.uploadClass)
	return b.String()
}

// meshSettings describe the mesh of one measurement.
type meshSettings struct {
	workers, domains int
	tree             treeSettings
	// latency is the run time of a read.
	latency time.Duration
	// arguments are added to every node's settings.
	arguments []string
}

// startMesh runs a mesh of one service and waits until every node runs the
// published tree and knows all instances.
func startMesh(ctx context.Context, o options, s meshSettings) (*mesh.Mesh, error) {
	deployment := mesh.Deployment{
		Name:     "bench",
		Services: []mesh.Service{{Name: serviceName + "/" + serviceName, Instances: s.workers}},
	}
	for i := range s.domains {
		deployment.Domains = append(deployment.Domains, fmt.Sprintf("domain-%d", i+1))
	}
	m, err := mesh.New(mesh.Config{
		Deployment: deployment,
		Program:    o.program(),
		Arguments:  s.arguments,
		Latency:    s.latency,
		Seed:       o.Seed,
		// The relay's own time must not count.
		DirectTraffic: true,
	})
	if err != nil {
		return nil, err
	}
	if err := publishTree(ctx, m, s); err != nil {
		return nil, closeAfter(m, err)
	}
	return m, nil
}

func publishTree(ctx context.Context, m *mesh.Mesh, s meshSettings) error {
	if _, err := m.Platform.Put("root", []byte(rootText)); err != nil {
		return err
	}
	revision, err := m.Platform.Put("teams/"+serviceName, []byte(s.tree.text()))
	if err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	_, err = waitForVersion(ctx, m, revision, len(m.Nodes))
	return err
}

// closeAfter ends the mesh after an error.
func closeAfter(m *mesh.Mesh, err error) error {
	_ = m.Close(closeLimit)
	return err
}

// waitForVersion polls the nodes until all run the revision of the team's
// document and know so many members. It returns the time that it took.
func waitForVersion(ctx context.Context, m *mesh.Mesh, revision uint64, members int) (time.Duration, error) {
	client := status.NewClient(status.DefaultTimeout)
	begin := time.Now()
	for {
		behind := 0
		for _, n := range m.Nodes {
			report, err := client.Report(ctx, n.Addresses().Operator)
			if err != nil || uint64(report.Version.Running["teams/"+serviceName]) < revision || report.Members < members {
				behind++
				break
			}
		}
		if behind == 0 {
			return time.Since(begin), nil
		}
		if time.Since(begin) > settleTimeout {
			return 0, eris.Errorf("a node does not run revision %d after %s", revision, settleTimeout)
		}
		if err := pause(ctx, settleInterval); err != nil {
			return 0, err
		}
	}
}

// pause waits or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	return clock.Wait(ctx, clock.System{}, d)
}
