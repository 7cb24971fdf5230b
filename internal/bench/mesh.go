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
	readPath   = "/read/"
	uploadPath = "/upload/"
	// convergeTimeout is the time limit for all nodes to run a published version.
	convergeTimeout = 60 * time.Second
	// pollInterval is the time between two polls of the nodes' status.
	pollInterval = 20 * time.Millisecond
	// closeTimeout is the time limit of each node's drain when the mesh closes.
	closeTimeout = 10 * time.Second
)

// rootText is the root document, which grants the team the host and paths that
// the experiments use.
const rootText = `teams:
  stock: {hosts: [stock.example], paths: [/]}
`

// documentSettings are the parts of the team's document that experiments vary.
type documentSettings struct {
	queue       int
	uploadClass string
	hedgeAfter  time.Duration
	deadline    time.Duration
}

func (s documentSettings) yaml() string {
	var b strings.Builder
	fmt.Fprintf(&b, `team: stock
services:
  stock: {slots: 6, long_slots: 2, queue: %d, slow_start: 1s}
routes:
  read:
    hosts: [stock.example]
    path: /read/
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
    path: /upload/
    service: stock
    idempotent: false
    class: %s
    deadline: 60s
`, s.uploadClass)
	return b.String()
}

// meshSettings are the settings of the mesh of one measurement.
type meshSettings struct {
	workers, domains int
	document         documentSettings
	// runTime is the run time of a read.
	runTime time.Duration
	// arguments are flags added to those of every node.
	arguments []string
}

// startMesh starts a mesh of one service and waits until every node runs the
// published configuration and knows all instances.
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
		Program:    o.daemonPath(),
		Arguments:  s.arguments,
		Latency:    s.runTime,
		Seed:       o.Seed,
		// The relay of a link would add its own time to the latencies.
		DirectTraffic: true,
	})
	if err != nil {
		return nil, err
	}
	if err := publishAndStart(ctx, m, s); err != nil {
		return nil, closeOnError(m, err)
	}
	return m, nil
}

// publishAndStart publishes both documents, starts the nodes and waits until
// all of them run the configuration and know each other.
func publishAndStart(ctx context.Context, m *mesh.Mesh, s meshSettings) error {
	if _, err := m.Platform.Put("root", []byte(rootText)); err != nil {
		return err
	}
	revision, err := m.Platform.Put("teams/"+serviceName, []byte(s.document.yaml()))
	if err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	_, err = waitForVersion(ctx, m, revision, len(m.Nodes))
	return err
}

func closeOnError(m *mesh.Mesh, err error) error {
	_ = m.Close(closeTimeout)
	return err
}

// waitForVersion polls the nodes until all run at least the given revision of the
// team's document and know at least the given number of members. It returns the
// time that this took.
func waitForVersion(ctx context.Context, m *mesh.Mesh, revision uint64, members int) (time.Duration, error) {
	client := status.NewClient(status.DefaultTimeout)
	start := time.Now()
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
			return time.Since(start), nil
		}
		if time.Since(start) > convergeTimeout {
			return 0, eris.Errorf("not all nodes run revision %d and know the expected members after %s", revision, convergeTimeout)
		}
		if err := pause(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
}

// pause waits for d. It returns the context's error if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	return clock.Wait(ctx, clock.System{}, d)
}
