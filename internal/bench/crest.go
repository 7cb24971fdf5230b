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
	serverCount   = 6
	crestRunTime  = 100 * time.Millisecond
	crestCapacity = 360.0
	// readDeadline is the deadline of the read route in the document.
	readDeadline = 2 * time.Second
	// boundedQueue and unboundedQueue are the queue lengths, in requests, of the
	// product and of the baseline.
	boundedQueue   = 32
	unboundedQueue = 10_000
	// recoveryResolution is the unit to which the recovery time is rounded.
	recoveryResolution = 250 * time.Millisecond
)

var crestPhases = []phase{
	{name: "before", rate: 0.6 * crestCapacity, duration: 5 * time.Second},
	{name: "rise", rate: 1.8 * crestCapacity, duration: time.Second},
	{name: "crest", rate: 3 * crestCapacity, duration: 5 * time.Second},
	{name: "after", rate: 0.6 * crestCapacity, duration: 10 * time.Second},
}

// crestPhase is the index of the crest in crestPhases.
const crestPhase = 2

type crestCommand struct{ options }

// Run performs the experiment.
func (c *crestCommand) Run(w io.Writer) error { return c.run(w, crest) }

// variant is one policy under test: node flags and a document.
type variant struct {
	name      string
	arguments []string
	document  documentSettings
}

func crest(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Crest of a demand swing",
		Setup: fmt.Sprintf("%d servers x 6 slots x %s = %.0f/s; 0.6x, then 3x for 5 s, then 0.6x; seed %d",
			serverCount, crestRunTime, crestCapacity, o.Seed),
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
		samples, err := runVariant(ctx, o, v, crestRunTime, func(addresses []string) ([]arrival, *caller) {
			return poissonSchedule(crestPhases, o.Seed), newCaller(addresses, http.MethodGet, readPath, crestRunTime)
		})
		if err != nil {
			return table, err
		}
		table.Rows = append(table.Rows, crestRow(v.name, samples))
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

func crestRow(name string, samples []sample) []string {
	s := summarise(samples, inPhase(crestPhase))
	seconds := crestPhases[crestPhase].duration.Seconds()
	return []string{
		name, fmt.Sprint(s.total), fmt.Sprintf("%.0f/s", float64(s.answered)/seconds),
		milliseconds(s.percentile(50)), milliseconds(s.percentile(99)),
		percent(s.notRun, s.total), milliseconds(s.medianRefusal()), percent(s.unknown+s.failed, s.total),
		recoveryTime(samples),
	}
}

// recoveryTime returns the time from the end of the crest to the arrival of the
// last request that was not answered within three times the p99 from before the
// crest, or "not within" the phase after the crest if requests miss this limit
// until its end.
func recoveryTime(samples []sample) string {
	limit := 3 * summarise(samples, inPhase(0)).percentile(99)
	var crestEnd time.Duration
	for _, p := range crestPhases[:crestPhase+1] {
		crestEnd += p.duration
	}
	afterDuration := crestPhases[crestPhase+1].duration
	lastMiss := slices.MaxFunc(samples, func(a, b sample) int {
		return int(missedAt(a, limit) - missedAt(b, limit))
	})
	missed := missedAt(lastMiss, limit)
	if missed >= crestEnd+afterDuration-recoveryResolution {
		return "not within " + afterDuration.String()
	}
	return max(missed-crestEnd, 0).Round(recoveryResolution).String()
}

// missedAt returns the arrival time of a sample that was not answered within the
// limit, else 0.
func missedAt(s sample, limit time.Duration) time.Duration {
	if s.result == resultAnswered && s.latency <= limit {
		return 0
	}
	return s.offset
}
