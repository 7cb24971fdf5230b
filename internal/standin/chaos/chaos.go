// Package chaos runs the Egyptian example deployment with real node processes,
// injects failures chosen by a seed while it is under load, and checks from outside
// that every guarantee to its users holds.
package chaos

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/timeline"
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
	// drainTimeout is the nodes' drain timeout. It exceeds the duration of an upload, so
	// that no drain interrupts one.
	drainTimeout = "10s"
)

// Config holds the settings of a run.
type Config struct {
	// Bin is the folder of the binaries.
	Bin string
	// Seed selects the failures.
	Seed uint64
	// Duration is the time during which failures are injected.
	Duration time.Duration
	// ResendUnknown makes callers resend a bid with the same idempotency key if it is
	// unknown whether it ran.
	ResendUnknown bool
	// Out receives the report of the run.
	Out io.Writer
}

func workloads() []load.Workload {
	const host = "lelang.example"
	return []load.Workload{
		{Name: "read", Method: "GET", Host: host, Path: "/lots", Idempotent: true, Rate: 80, ResponseBytes: 2000},
		{Name: "bid", Method: "POST", Host: host, Path: "/bids", HasIdempotencyKey: true, Rate: 60, BodyBytes: 200},
		{
			Name: "upload", Method: "POST", Host: host, Path: "/photographs", Rate: 3,
			BodyBytes: 400_000, BodyTime: 2 * time.Second, Run: 200 * time.Millisecond,
		},
	}
}

// run is a mesh with the components that load it, publish documents and check it.
type run struct {
	Config
	mesh      *mesh.Mesh
	observer  *mesh.Observer
	generator *load.Generator
	publisher *publisher
}

// Run runs the deployment under failures. The error lists every violation of a
// guarantee, or says why the run could not be completed.
func Run(ctx context.Context, c Config) error {
	m, err := mesh.New(mesh.Config{
		Deployment:  mesh.Egypt(),
		Program:     filepath.Join(c.Bin, "galenaleverd"),
		Arguments:   []string{"--drain-timeout", drainTimeout},
		Latency:     serverLatency,
		RestartTime: restartTime,
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
	failureCtx, stopFailures := context.WithTimeout(ctx, r.Duration)
	newInjector(r.mesh, r.publisher, r.Seed, r.Out).run(failureCtx, ctx)
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
		return true
	})
	if err == nil {
		fmt.Fprintf(r.Out, "all nodes run the last good versions %s after the failures\n",
			time.Since(begin).Round(time.Millisecond))
	}
	return reports, err
}

// collectViolations returns every violation of a guarantee and prints a summary.
func (r *run) collectViolations(reports mesh.Reports, convergeErr error) findings.List {
	var list findings.List
	location := func(source string) findings.Location { return findings.Location{Source: source} }
	records := r.generator.Records()
	if convergeErr != nil {
		list.Addf(location("convergence"), "%v", convergeErr)
		r.addLaggingNodes(&list, reports)
	}
	for _, violation := range r.observer.Violations() {
		list.Addf(location("versions"), "%s", violation)
	}
	for _, violation := range load.Violations(records, r.mesh.Ledger) {
		list.Addf(location("calls"), "%s", violation)
	}
	for _, record := range r.cutByDrain(records) {
		list.Addf(location("calls"), "connection lost at a node that was neither killed nor paused: %s", record)
	}
	if load.CountResults(records)[load.ResultAnswered] == 0 {
		list.Addf(location("calls"), "no request was answered")
	}
	r.printSummary(records, len(list))
	return list
}

// cutByDrain returns the requests that lost the connection to a node that was neither
// killed nor paused. Such a node may at most have drained meanwhile, and a drain must
// let running requests finish.
func (r *run) cutByDrain(records []load.Record) []load.Record {
	var lost []load.Record
	for _, record := range records {
		for _, send := range record.Sends {
			if send.Result == load.ResultCut && !r.mesh.Disrupted(send.Address) {
				lost = append(lost, record)
			}
		}
	}
	return lost
}

// addLaggingNodes adds a finding for each node that is unreachable or runs an older
// version than expected.
func (r *run) addLaggingNodes(list *findings.List, reports mesh.Reports) {
	for _, n := range r.mesh.Nodes {
		report, ok := reports[n.ID]
		if !ok {
			list.Addf(findings.Location{Source: "convergence", Path: n.ID}, "no status report")
			continue
		}
		for key, revision := range r.publisher.expected() {
			if running := report.Version.Running[key]; running < revision {
				list.Addf(findings.Location{Source: "convergence", Path: n.ID}, "%s at %d, want %d; cut %d, held: %s",
					key, running, revision, report.Version.Cut, report.Version.HeldText())
			}
		}
	}
}

// printTimeline prints the events of all running nodes, which help to explain a
// violation. It leaves out membership changes.
func (r *run) printTimeline(ctx context.Context) {
	const nodeWidth = 14
	for _, event := range r.observer.Events(ctx) {
		if event.Kind != timeline.KindMemberChanged {
			fmt.Fprintln(r.Out, " ", event.Format(nodeWidth))
		}
	}
}

// printSummary prints the number of requests by result, those of unanswered requests
// also by detail, and the numbers of status reports, platform calls and violations.
func (r *run) printSummary(records []load.Record, violations int) {
	counts := load.CountResults(records)
	fmt.Fprintf(r.Out, "seed %d, %s: %d requests", r.Seed, r.Duration, len(records))
	for _, result := range load.Results {
		fmt.Fprintf(r.Out, ", %s %d", result, counts[result])
	}
	fmt.Fprintln(r.Out)
	for _, line := range load.Summary(records) {
		fmt.Fprintln(r.Out, line)
	}
	counters := r.mesh.Platform.Counters()
	fmt.Fprintf(r.Out, "%d status reports checked; platform calls %d, at most %d in one second; violations: %d\n",
		r.observer.Samples(), counters.Calls, counters.HighestPerSecond, violations)
}
