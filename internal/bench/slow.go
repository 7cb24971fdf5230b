package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

// Slowed servers: reads of 20 ms at 40 % of the capacity of six slots per server,
// while two of six servers run ten times as slow for short periods. The rate is in
// requests per second.
const (
	slowReadTime = 20 * time.Millisecond
	slowReadRate = 0.4 * serverCount * 6 / 0.020
	slowDuration = 20 * time.Second
	slowFactor   = 10.0
	slowServers  = 2
	// meanSlowPeriod and meanSlowGap are the mean lengths of a slow period and of
	// the time to the next.
	meanSlowPeriod = 1500 * time.Millisecond
	meanSlowGap    = 1500 * time.Millisecond
	hedgeAfter     = 40 * time.Millisecond
)

type slowCommand struct{ options }

// Run performs the experiment.
func (c *slowCommand) Run(w io.Writer) error { return c.run(w, slow) }

func slow(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Tail latency while servers are slowed",
		Setup: fmt.Sprintf("reads of %s at %.0f/s; %d of %d servers %.0f times as slow for periods of %s on average; reported load lags 5 s; seed %d",
			slowReadTime, slowReadRate, slowServers, serverCount, slowFactor, meanSlowPeriod, o.Seed),
		Columns: []string{"policy", "reads", "p50", "p99", "p99.9", "refused", "unknown or failed", "extra executions"},
	}
	unhedged := documentSettings{queue: boundedQueue, uploadClass: "long", deadline: readDeadline}
	hedged := unhedged
	hedged.hedgeAfter = hedgeAfter
	variants := []variant{
		{name: "baseline: random", arguments: []string{"--balancer=random"}, document: unhedged},
		{name: "baseline: reported load", arguments: []string{"--balancer=reported"}, document: unhedged},
		{name: "product", document: unhedged},
		{name: "product with hedges", document: hedged},
	}
	for _, v := range variants {
		samples, executions, err := runSlowed(ctx, o, v)
		if err != nil {
			return table, err
		}
		s := summarise(samples, inPhase(0))
		table.Rows = append(table.Rows, []string{
			v.name, fmt.Sprint(s.total), milliseconds(s.percentile(50)), milliseconds(s.percentile(99)), milliseconds(s.percentile(99.9)),
			percent(s.notRun, s.total), percent(s.unknown+s.failed, s.total), percent(executions-s.answered, s.total),
		})
	}
	return table, nil
}

// runSlowed sends reads while some servers have slow periods. It returns the
// samples and the number of executions at the servers.
func runSlowed(ctx context.Context, o options, v variant) ([]sample, int, error) {
	m, err := startMesh(ctx, o, meshSettings{workers: serverCount, domains: 1, document: v.document, runTime: slowReadTime, arguments: v.arguments})
	if err != nil {
		return nil, 0, err
	}
	c := newCaller(m.Callers(), http.MethodGet, readPath, slowReadTime)
	defer c.close()
	slowCtx, stopSlowing := context.WithCancel(ctx)
	defer stopSlowing()
	for i, n := range slowedNodes(m) {
		go injectSlowPeriods(slowCtx, n.Backend, o.Seed+uint64(i))
	}
	arrivals := poissonSchedule([]phase{{rate: slowReadRate, duration: slowDuration}}, o.Seed)
	samples := runOpenLoop(ctx, arrivals, func(i int) result { return c.send(ctx, i) })
	executions := 0
	for _, count := range m.Ledger.Executions() {
		executions += count
	}
	return samples, executions, m.Close(closeTimeout)
}

func slowedNodes(m *mesh.Mesh) []*mesh.Node { return m.Nodes[:slowServers] }

// injectSlowPeriods slows a server for random periods until the context ends.
func injectSlowPeriods(ctx context.Context, server *backend.Server, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	for {
		if pause(ctx, time.Duration(random.ExpFloat64()*float64(meanSlowGap))) != nil {
			return
		}
		period := time.Duration(random.ExpFloat64() * float64(meanSlowPeriod))
		server.SetSlow(slowFactor, period)
		if pause(ctx, period) != nil {
			return
		}
	}
}
