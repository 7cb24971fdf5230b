// Package demo runs the Java deployment with real node processes. It publishes a
// second version of the configuration while requests flow, and reports the result.
package demo

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// readyTimeout bounds the start of the mesh, versionTimeout the time until all
	// nodes run the second version.
	readyTimeout   = 25 * time.Second
	versionTimeout = 15 * time.Second
	// loadBefore is the time under load before the second version is published,
	// loadAfter the time after all nodes run it.
	loadBefore = 3 * time.Second
	loadAfter  = 4 * time.Second
	// stopTimeout bounds the shutdown of a node.
	stopTimeout = 10 * time.Second
	// serverLatency is the run time of a request at a backend server.
	serverLatency = 5 * time.Millisecond
	// maxShownEvents bounds the events of the timeline that are printed.
	maxShownEvents = 40
	// seed is the seed of the mesh and of the generator; it is fixed so that all runs
	// make the same random choices.
	seed = 1
)

// Config is the settings of the demo.
type Config struct {
	// Bin is the folder with the programs.
	Bin string
	// Out receives the report.
	Out io.Writer
}

func workloads() []load.Workload {
	const host = "sewa.example"
	return []load.Workload{
		{Name: "read", Method: "GET", Host: host, Path: "/units/", Idempotent: true, Rate: 100, ResponseBytes: 2000},
		{Name: "book", Method: "POST", Host: host, Path: "/bookings/", HasIdempotencyKey: true, Rate: 40, BodyBytes: 300},
		{
			Name: "upload", Method: "POST", Host: host, Path: "/permits/", Rate: 2,
			BodyBytes: 500_000, BodyTime: time.Second, Run: 100 * time.Millisecond,
		},
	}
}

// demoRun holds the state of one run of the demo.
type demoRun struct {
	Config
	mesh      *mesh.Mesh
	observer  *mesh.Observer
	generator *load.Generator
}

// Run runs the demo. It returns an error if a node did not run the second version,
// a connection of a call was lost or a guarantee was violated.
func Run(ctx context.Context, c Config) error {
	m, err := mesh.New(mesh.Config{
		Deployment: mesh.Java(),
		Program:    filepath.Join(c.Bin, "galenaleverd"),
		Latency:    serverLatency,
		Seed:       seed,
	})
	if err != nil {
		return err
	}
	r := &demoRun{
		Config:   c,
		mesh:     m,
		observer: mesh.NewObserver(m),
		generator: load.NewGenerator(load.Config{
			Workloads: workloads(), Callers: m.Callers, Prefix: "demo", Seed: seed,
		}),
	}
	err = r.execute(ctx)
	if stopErr := m.Close(stopTimeout); err == nil {
		err = stopErr
	}
	if err == nil {
		fmt.Fprintln(c.Out, "all processes have ended; the demo succeeded")
	}
	return err
}

func (r *demoRun) execute(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	secondRevision, err := r.publishUnderLoad(ctx)
	if err != nil {
		return err
	}
	return r.report(ctx, secondRevision)
}

// start publishes the first version, starts the nodes and waits until all of them
// are ready and run it.
func (r *demoRun) start(ctx context.Context) error {
	fmt.Fprintf(r.Out, "starting %d nodes in %v; %s one way between nodes\n",
		len(r.mesh.Nodes), mesh.Java().Domains, mesh.Java().LinkDelay)
	if err := r.mesh.PublishAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	begin := time.Now()
	if err := r.mesh.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(r.Out, "meanwhile: galenactl status --all --node %s\n", r.mesh.Nodes[0].Addresses().Operator)
	reports, err := r.observer.Await(ctx, both(
		r.mesh.AllReady(),
		r.mesh.AllRun(model.TeamKey("katalog"), 1),
	))
	printReports(r.Out, reports)
	if err == nil {
		fmt.Fprintf(r.Out, "version 1 is in force on all nodes after %s\n", since(begin))
	}
	return err
}

func both(a, b func(mesh.Reports) bool) func(mesh.Reports) bool {
	return func(r mesh.Reports) bool { return a(r) && b(r) }
}

// publishUnderLoad publishes the second version while requests flow, and returns its
// revision once all nodes run it.
func (r *demoRun) publishUnderLoad(ctx context.Context) (model.Revision, error) {
	loadCtx, stop := context.WithCancel(ctx)
	var generator sync.WaitGroup
	generator.Go(func() { r.generator.Run(loadCtx) })
	defer generator.Wait()
	defer stop()
	if err := clock.Wait(ctx, clock.System{}, loadBefore); err != nil {
		return 0, err
	}
	key := model.TeamKey("katalog")
	begin := time.Now()
	document := mesh.AddRoute(mesh.Java().Document("katalog"), "prices", "/units/prices/", "katalog")
	secondRevision, err := r.mesh.Publish(key, document)
	if err != nil {
		return 0, err
	}
	convergeCtx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	if _, err := r.observer.Await(convergeCtx, r.mesh.AllRun(key, secondRevision)); err != nil {
		printReports(r.Out, r.observer.Sample(ctx))
		return 0, eris.Wrap(err, "waiting until all nodes run version 2")
	}
	fmt.Fprintf(r.Out, "version 2 is in force on all nodes %s after its publication\n", since(begin))
	return secondRevision, clock.Wait(ctx, clock.System{}, loadAfter)
}

func since(begin time.Time) time.Duration { return time.Since(begin).Round(time.Millisecond) }
