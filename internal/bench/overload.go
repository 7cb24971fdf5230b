package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Demand above capacity: six servers with six slots each and requests of 100 ms
// have a capacity of 360 requests per second.
const (
	serverCount     = 6
	overloadRunTime = 100 * time.Millisecond
	// totalCapacity is the capacity of all servers in requests per second.
	totalCapacity = 360.0
	// readDeadline is the deadline of the read route in the document.
	readDeadline = 2 * time.Second
	// boundedQueue and unboundedQueue are the queue lengths, in requests, of the
	// product and of the baseline.
	boundedQueue   = 32
	unboundedQueue = 10_000
	// recoveryResolution is the unit to which the recovery time is rounded.
	recoveryResolution = 250 * time.Millisecond
)

var overloadPhases = []phase{
	{name: "before", rate: 0.6 * totalCapacity, duration: 5 * time.Second},
	{name: "rise", rate: 1.8 * totalCapacity, duration: time.Second},
	{name: "crest", rate: 3 * totalCapacity, duration: 5 * time.Second},
	{name: "after", rate: 0.6 * totalCapacity, duration: 10 * time.Second},
}

// peakPhase is the index of the phase "crest" in overloadPhases.
const peakPhase = 2

type overloadCommand struct{ options }

// Run performs the experiment.
func (c *overloadCommand) Run(w io.Writer) error { return c.run(w, overload) }

// variant is one policy under test: node flags and a document.
type variant struct {
	name      string
	arguments []string
	document  documentSettings
}

func overload(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Crest of a demand swing",
		Setup: fmt.Sprintf("%d servers x 6 slots x %s = %.0f/s; 0.6x, then 3x for 5 s, then 0.6x; seed %d",
			serverCount, overloadRunTime, totalCapacity, o.Seed),
		Columns: []string{"policy", "crest arrivals", "goodput", "p50 served", "p99 served", "refused", "refused after", "unknown or failed", "recovered after"},
	}
	variants := []variant{
		{
			name: "baseline: random, unbounded queue", arguments: []string{"--balancer=random", "--admission=unbounded"},
			document: documentSettings{queue: unboundedQueue, uploadClass: "long", deadline: readDeadline},
		},
		{name: "product", document: documentSettings{queue: boundedQueue, uploadClass: "long", deadline: readDeadline}},
	}
	for _, v := range variants {
		samples, err := runVariant(ctx, o, v, overloadRunTime, func(addresses []string) ([]arrival, *caller) {
			return poissonSchedule(overloadPhases, o.Seed), newCaller(addresses, http.MethodGet, readPath, overloadRunTime)
		})
		if err != nil {
			return table, err
		}
		table.Rows = append(table.Rows, overloadRow(v.name, samples))
	}
	return table, nil
}

// runVariant starts a mesh of serverCount servers, passes the addresses of the nodes'
// ports for callers to prepare, sends the arrivals that it returns, and closes the
// mesh.
func runVariant(ctx context.Context, o options, v variant, runTime time.Duration, prepare func([]string) ([]arrival, *caller)) ([]sample, error) {
	m, err := startMesh(ctx, o, meshSettings{
		workers: serverCount, domains: 1, document: v.document, runTime: runTime, arguments: v.arguments,
	})
	if err != nil {
		return nil, err
	}
	arrivals, c := prepare(m.Callers())
	defer c.close()
	samples := runOpenLoop(ctx, arrivals, func(i int) result { return c.send(ctx, i) })
	return samples, m.Close(closeTimeout)
}

func overloadRow(name string, samples []sample) []string {
	s := summarise(samples, inPhase(peakPhase))
	seconds := overloadPhases[peakPhase].duration.Seconds()
	return []string{
		name, fmt.Sprint(s.total), fmt.Sprintf("%.0f/s", float64(s.answered)/seconds),
		milliseconds(s.percentile(50)), milliseconds(s.percentile(99)),
		percent(s.notRun, s.total), milliseconds(s.medianRefusal()), percent(s.unknown+s.failed, s.total),
		recoveryTime(samples),
	}
}

// recoveryTime returns the time from the end of the peak phase to the arrival of the
// last request that was not answered within three times the p99 of the first phase,
// or "not within" the phase after the peak if requests miss this limit until its
// end.
func recoveryTime(samples []sample) string {
	limit := 3 * summarise(samples, inPhase(0)).percentile(99)
	var peakEnd time.Duration
	for _, p := range overloadPhases[:peakPhase+1] {
		peakEnd += p.duration
	}
	afterDuration := overloadPhases[peakPhase+1].duration
	lastMiss := slices.MaxFunc(samples, func(a, b sample) int {
		return int(missedAt(a, limit) - missedAt(b, limit))
	})
	missed := missedAt(lastMiss, limit)
	if missed >= peakEnd+afterDuration-recoveryResolution {
		return "not within " + afterDuration.String()
	}
	return max(missed-peakEnd, 0).Round(recoveryResolution).String()
}

// missedAt returns the arrival time of a sample that was not answered within the
// limit, else 0.
func missedAt(s sample, limit time.Duration) time.Duration {
	if s.result == resultAnswered && s.latency <= limit {
		return 0
	}
	return s.offset
}
