// Package chaos runs the Egyptian deployment of the brief with real node
// processes, lets failures chosen by a seed strike it while requests flow, and
// checks from outside that every promise held.
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
	// readyTimeout bounds the start of the mesh, convergeTimeout the time until
	// the last version is in force everywhere once the failures are over.
	readyTimeout    = 30 * time.Second
	convergeTimeout = 30 * time.Second
	// stopTimeout bounds the shutdown of one node.
	stopTimeout = 15 * time.Second
	// serverLatency is the run time of a request, restartTime how long a
	// crashed server is away.
	serverLatency = 5 * time.Millisecond
	restartTime   = 500 * time.Millisecond
	// sends is the largest number of sends of a request refused as not run.
	sends = 3
	// drainTimeout is the nodes' setting; it exceeds the longest upload.
	drainTimeout = "10s"
)

// Config is the settings of one run.
type Config struct {
	// Bin is the folder of the programs.
	Bin      string
	Seed     uint64
	Duration time.Duration
	// ResendUnknown makes callers send bids again, with the same idempotency
	// key, if they do not know whether they ran.
	ResendUnknown bool
	// Out receives the report.
	Out io.Writer
}

// shapes are the requests of the Egyptian holding.
func shapes() []load.Workload {
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

// run is one run of the failures.
type run struct {
	Config
	mesh      *mesh.Mesh
	observer  *mesh.Observer
	generator *load.Generator
	publisher *publisher
}

// Run runs the deployment under failures. It returns an error that lists every
// promise that was broken.
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
			Workloads: shapes(), Callers: m.Callers, MaxSends: sends, ResendUnknown: c.ResendUnknown,
			Prefix: fmt.Sprintf("chaos%d", c.Seed), Seed: c.Seed,
		}),
		publisher: newPublisher(m, observer),
	}
	err = r.survive(ctx)
	if stopErr := m.Close(stopTimeout); err == nil {
		err = stopErr
	}
	return err
}

func (r *run) survive(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	r.strike(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	reports, converged := r.converge(ctx)
	faults := r.verdict(reports, converged)
	if len(faults) > 0 {
		r.printTimeline(ctx)
	}
	return faults.Err()
}

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

// strike lets failures happen for the duration while requests flow and the
// versions of all nodes are observed, then repairs everything.
func (r *run) strike(ctx context.Context) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	observeCtx, stopObserving := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { r.observer.Run(observeCtx) })
	var requests sync.WaitGroup
	requests.Go(func() { r.generator.Run(loadCtx) })
	strikeCtx, stopStriking := context.WithTimeout(ctx, r.Duration)
	newStriker(r.mesh, r.publisher, r.Seed, r.Out).run(strikeCtx, ctx)
	stopStriking()
	stopLoad()
	requests.Wait()
	stopObserving()
	background.Wait()
}

// converge waits until every node runs the last good version of every team.
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

// verdict collects every broken promise.
func (r *run) verdict(reports mesh.Reports, converged error) findings.List {
	var list findings.List
	place := func(source string) findings.Location { return findings.Location{Source: source} }
	records := r.generator.Records()
	if converged != nil {
		list.Addf(place("convergence"), "%v", converged)
		r.addLaggards(&list, reports)
	}
	for _, fault := range r.observer.Violations() {
		list.Addf(place("versions"), "%s", fault)
	}
	for _, violation := range load.Violations(records, r.mesh.Ledger) {
		list.Addf(place("calls"), "%s", violation)
	}
	for _, record := range r.cutByDrain(records) {
		list.Addf(place("calls"), "cut by a node that was not killed or paused: %s", record)
	}
	if load.CountResults(records)[load.ResultAnswered] == 0 {
		list.Addf(place("calls"), "no call was answered")
	}
	r.print(records, len(list))
	return list
}

// cutByDrain returns the requests whose connection broke although nothing but a
// graceful shutdown befell the callers' node.
func (r *run) cutByDrain(records []load.Record) []load.Record {
	var cut []load.Record
	for _, record := range records {
		for _, send := range record.Sends {
			if send.Result == load.ResultCut && !r.mesh.Disrupted(send.Address) {
				cut = append(cut, record)
			}
		}
	}
	return cut
}

func (r *run) addLaggards(list *findings.List, reports mesh.Reports) {
	for _, n := range r.mesh.Nodes {
		report, ok := reports[n.ID]
		if !ok {
			list.Addf(findings.Location{Source: "convergence", Path: n.ID}, "no answer")
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

// printTimeline prints the events that help to explain a broken promise.
func (r *run) printTimeline(ctx context.Context) {
	const nodeWidth = 14
	for _, event := range r.observer.Events(ctx) {
		if event.Kind != timeline.KindMemberChanged {
			fmt.Fprintln(r.Out, " ", event.Format(nodeWidth))
		}
	}
}

func (r *run) print(records []load.Record, violations int) {
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
