package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// The crest: six servers with six slots of 100 ms carry 360 requests a second.
const (
	crestWorkers  = 6
	crestRun      = 100 * time.Millisecond
	crestCapacity = 360.0
	crestDeadline = 2 * time.Second
	// boundedQueue and unboundedQueue are the queue lengths of policy and
	// baseline.
	boundedQueue   = 32
	unboundedQueue = 10_000
	// recoveryWindow is the width of the windows in which recovery is judged.
	recoveryWindow = 250 * time.Millisecond
)

var crestPhases = []phase{
	{name: "before", rate: 0.6 * crestCapacity, lasts: 5 * time.Second},
	{name: "rise", rate: 1.8 * crestCapacity, lasts: time.Second},
	{name: "crest", rate: 3 * crestCapacity, lasts: 5 * time.Second},
	{name: "after", rate: 0.6 * crestCapacity, lasts: 10 * time.Second},
}

// crestPhase is the index of the crest in crestPhases.
const crestPhase = 2

type crestCommand struct{ options }

// Run implements the command.
func (c *crestCommand) Run(w io.Writer) error { return c.run(w, crest) }

// variant is one policy under test.
type variant struct {
	name      string
	arguments []string
	tree      treeSettings
}

func crest(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Crest of a demand swing",
		Setup: fmt.Sprintf("%d servers x 6 slots x %s = %.0f/s; 0.6x, then 3x for 5 s, then 0.6x; seed %d",
			crestWorkers, crestRun, crestCapacity, o.Seed),
		Columns: []string{"policy", "crest arrivals", "goodput", "p50 served", "p99 served", "refused", "refused after", "unknown or failed", "recovered after"},
	}
	variants := []variant{
		{
			name: "baseline: random, unbounded queue", arguments: []string{"--balancer=random", "--admission=unbounded"},
			tree: treeSettings{queue: unboundedQueue, uploadClass: "long", deadline: crestDeadline},
		},
		{name: "product", tree: treeSettings{queue: boundedQueue, uploadClass: "long", deadline: crestDeadline}},
	}
	for _, v := range variants {
		samples, err := playOn(ctx, o, v, crestRun, func(addresses []string) ([]arrival, *caller) {
			return schedule(crestPhases, o.Seed), newCaller(addresses, http.MethodGet, readPath, crestRun)
		})
		if err != nil {
			return table, err
		}
		table.Rows = append(table.Rows, crestRow(v.name, samples))
	}
	return table, nil
}

// playOn starts a mesh of crestWorkers, plays one schedule and ends the mesh.
func playOn(ctx context.Context, o options, v variant, latency time.Duration, prepare func([]string) ([]arrival, *caller)) ([]sample, error) {
	m, err := startMesh(ctx, o, meshSettings{
		workers: crestWorkers, domains: 1, tree: v.tree, latency: latency, arguments: v.arguments,
	})
	if err != nil {
		return nil, err
	}
	arrivals, c := prepare(m.Callers())
	defer c.close()
	samples := play(ctx, arrivals, func(i int) result { return c.send(ctx, i) })
	return samples, m.Close(closeLimit)
}

func crestRow(name string, samples []sample) []string {
	s := summarise(samples, inPhase(crestPhase))
	seconds := crestPhases[crestPhase].lasts.Seconds()
	return []string{
		name, fmt.Sprint(s.total), fmt.Sprintf("%.0f/s", float64(s.answered)/seconds),
		milliseconds(s.quantile(50)), milliseconds(s.quantile(99)),
		percent(s.notRun, s.total), milliseconds(s.refusedAfter()), percent(s.unknown+s.failed, s.total),
		recovery(samples),
	}
}

// recovery returns the time from the end of the crest until all requests are
// answered again within three times the p99 from before it, for the rest of the
// run.
func recovery(samples []sample) string {
	limit := 3 * summarise(samples, inPhase(0)).quantile(99)
	var end time.Duration
	for _, p := range crestPhases[:crestPhase+1] {
		end += p.lasts
	}
	last := crestPhases[crestPhase+1].lasts
	bad := slices.MaxFunc(samples, func(a, b sample) int {
		return int(lateAt(a, limit) - lateAt(b, limit))
	})
	at := lateAt(bad, limit)
	if at >= end+last-recoveryWindow {
		return "not within " + last.String()
	}
	return max(at-end, 0).Round(recoveryWindow).String()
}

// lateAt returns the arrival time of a sample that missed the limit, else 0.
func lateAt(s sample, limit time.Duration) time.Duration {
	if s.result == resultAnswered && s.took <= limit {
		return 0
	}
	return s.at
}
