// Package chaos runs the Egyptian example deployment with real node processes,
// injects failures chosen by a seed while it is under load, and checks from outside
// that every guarantee to its users holds.
package chaos

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// readyTimeout bounds the start of the mesh, convergeTimeout the time from the end
	// of the failures until every node runs the last versions.
	readyTimeout    = 30 * time.Second
	convergeTimeout = 30 * time.Second
	// stopTimeout bounds the shutdown of one node.
	stopTimeout = 15 * time.Second
	// serverLatency is the run time of a request at a backend server, restartTime the
	// time until a crashed backend server runs again.
	serverLatency = 5 * time.Millisecond
	restartTime   = 500 * time.Millisecond
	// maxSends is the maximum number of sends of a request that is refused as not run.
	maxSends = 3
)

// Config holds the settings of a run.
type Config struct {
	// Bin is the folder of the binaries.
	Bin string
	// Seed selects the failures.
	Seed uint64
	// Scenario is the kind of failures; if it is empty, the seed selects it.
	Scenario Scenario
	// Instances is the number of instances; 0 means that of the deployment.
	Instances int
	// Duration is the time during which failures are injected.
	Duration time.Duration
	// ResendUnknown makes callers resend a bid with the same idempotency key if it is
	// unknown whether it ran.
	ResendUnknown bool
	// Out receives the report of the run.
	Out io.Writer
}

// run is a mesh with the components that load it, publish documents and check it.
type run struct {
	Config
	mesh      *mesh.Mesh
	observer  *mesh.Observer
	generator *load.Generator
	// kept are the clients that keep connections, or nil.
	kept      *load.KeptClients
	publisher *publisher
	// evacuations are the evacuations that have ended.
	evacuations []evacuation
}

// Run runs the deployment under failures. The error lists every violation of a
// guarantee, or says why the run could not be completed.
func Run(ctx context.Context, c Config) error {
	var err error
	if c.Scenario, err = c.Scenario.resolve(c.Seed); err != nil {
		return err
	}
	deployment := mesh.Egypt()
	if c.Instances > 0 {
		deployment = deployment.Scaled(c.Instances)
	}
	m, err := mesh.New(mesh.Config{
		Deployment:  deployment,
		Program:     filepath.Join(c.Bin, "galenaleverd"),
		Arguments:   slices.Concat(c.Scenario.drain().arguments, warmupArguments(), floodArguments()),
		Direct:      c.Scenario.direct(),
		Latency:     serverLatency,
		RestartTime: restartTime,
		Warmup:      warmupTime,
		WarmupBound: warmupBound,
		Seed:        c.Seed,
	})
	if err != nil {
		return err
	}
	observer := mesh.NewObserver(m)
	r := &run{
		Config:   c,
		mesh:     m,
		observer: observer,
		generator: load.NewGenerator(load.Config{
			Workloads: workloads(), Callers: m.Callers, MaxSends: maxSends, ResendUnknown: c.ResendUnknown,
			Prefix: fmt.Sprintf("chaos%d", c.Seed), Seed: c.Seed,
		}),
		publisher: newPublisher(m, observer),
	}
	if c.Scenario != ScenarioFailures {
		r.kept = newKeptClients(m, fmt.Sprintf("kept%d", c.Seed), c.Seed)
	}
	err = r.execute(ctx)
	if stopErr := m.Close(stopTimeout); err == nil {
		err = stopErr
	}
	return err
}

// execute starts the mesh, runs it under failures and checks the guarantees. If any
// is violated, it prints the timeline.
func (r *run) execute(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	r.injectFailures(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	reports, convergeErr := r.converge(ctx)
	violations := r.collectViolations(reports, convergeErr)
	if len(violations) > 0 {
		r.printTimeline(ctx)
	}
	return violations.Err()
}

// start publishes the documents, starts all nodes and waits until they are ready.
func (r *run) start(ctx context.Context) error {
	if err := r.publisher.publishAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.mesh.Start(ctx); err != nil {
		return err
	}
	_, err := r.observer.Await(ctx, r.mesh.AllReady())
	return err
}

// injectFailures injects failures for the configured duration, under load and while
// the versions of all nodes are observed, and returns once all failures are repaired.
func (r *run) injectFailures(ctx context.Context) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	observeCtx, stopObserving := context.WithCancel(ctx)
	var observing sync.WaitGroup
	observing.Go(func() { r.observer.Run(observeCtx) })
	var loading sync.WaitGroup
	loading.Go(func() { r.generator.Run(loadCtx) })
	if r.kept != nil {
		loading.Go(func() { r.kept.Run(loadCtx) })
	}
	failureCtx, stopFailures := context.WithTimeout(ctx, r.Duration)
	injector := newInjector(r.mesh, r.publisher, r.Config)
	injector.run(failureCtx, ctx)
	r.evacuations = injector.evacuations
	stopFailures()
	stopLoad()
	loading.Wait()
	stopObserving()
	observing.Wait()
}

// converge waits until every node runs the last good version of each team's document.
// It returns the last reports, and an error if this takes longer than convergeTimeout or
// a process ends unexpectedly.
func (r *run) converge(ctx context.Context) (mesh.Reports, error) {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	begin := time.Now()
	reports, err := r.observer.Await(ctx, func(reports mesh.Reports) bool {
		for key, revision := range r.publisher.expected() {
			if !r.mesh.AllRun(key, revision)(reports) {
				return false
			}
		}
		return noneEvacuated(reports)
	})
	if err == nil {
		fmt.Fprintf(r.Out, "all nodes run the last good versions %s after the failures\n",
			time.Since(begin).Round(time.Millisecond))
	}
	return reports, err
}
