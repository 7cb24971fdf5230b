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

// Slowed servers: reads of 20 ms at 40 % of the capacity while two of six
// servers run ten times as slow for moments.
const (
	slowRead    = 20 * time.Millisecond
	slowRate    = 0.4 * crestWorkers * 6 / 0.020
	slowLasts   = 20 * time.Second
	slowFactor  = 10.0
	slowServers = 2
	// slowMoment and slowGap are the mean lengths of a slow moment and of the
	// time to the next.
	slowMoment = 1500 * time.Millisecond
	slowGap    = 1500 * time.Millisecond
	hedgeAfter = 40 * time.Millisecond
)

type slowCommand struct{ options }

// Run implements the command.
func (c *slowCommand) Run(w io.Writer) error { return c.run(w, slow) }

func slow(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Tail latency while servers are slowed",
		Setup: fmt.Sprintf("reads of %s at %.0f/s; %d of %d servers %.0f times as slow for moments of %s; reported load lags 5 s; seed %d",
			slowRead, slowRate, slowServers, crestWorkers, slowFactor, slowMoment, o.Seed),
		Columns: []string{"policy", "reads", "p50", "p99", "p99.9", "refused", "unknown or failed", "extra executions"},
	}
	plain := treeSettings{queue: boundedQueue, uploadClass: "long", deadline: crestDeadline}
	hedged := plain
	hedged.hedgeAfter = hedgeAfter
	variants := []variant{
		{name: "baseline: random", arguments: []string{"--balancer=random"}, tree: plain},
		{name: "baseline: reported load", arguments: []string{"--balancer=reported"}, tree: plain},
		{name: "product", tree: plain},
		{name: "product with hedges", tree: hedged},
	}
	for _, v := range variants {
		samples, executions, err := playSlowed(ctx, o, v)
		if err != nil {
			return table, err
		}
		s := summarise(samples, inPhase(0))
		table.Rows = append(table.Rows, []string{
			v.name, fmt.Sprint(s.total), milliseconds(s.quantile(50)), milliseconds(s.quantile(99)), milliseconds(s.quantile(99.9)),
			percent(s.notRun, s.total), percent(s.unknown+s.failed, s.total), percent(executions-s.answered, s.total),
		})
	}
	return table, nil
}

// playSlowed plays reads while the slow moments go on, and counts executions.
func playSlowed(ctx context.Context, o options, v variant) ([]sample, int, error) {
	m, err := startMesh(ctx, o, meshSettings{workers: crestWorkers, domains: 1, tree: v.tree, latency: slowRead, arguments: v.arguments})
	if err != nil {
		return nil, 0, err
	}
	c := newCaller(m.Callers(), http.MethodGet, readPath, slowRead)
	defer c.close()
	moments, stop := context.WithCancel(ctx)
	defer stop()
	for i, n := range slowedNodes(m) {
		go slowMoments(moments, n.Backend, o.Seed+uint64(i))
	}
	arrivals := schedule([]phase{{rate: slowRate, lasts: slowLasts}}, o.Seed)
	samples := play(ctx, arrivals, func(i int) result { return c.send(ctx, i) })
	executions := 0
	for _, count := range m.Ledger.Executions() {
		executions += count
	}
	return samples, executions, m.Close(closeLimit)
}

func slowedNodes(m *mesh.Mesh) []*mesh.Node { return m.Nodes[:slowServers] }

// slowMoments slows a server for random moments until the context ends.
func slowMoments(ctx context.Context, server *backend.Server, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	for {
		if pause(ctx, time.Duration(random.ExpFloat64()*float64(slowGap))) != nil {
			return
		}
		moment := time.Duration(random.ExpFloat64() * float64(slowMoment))
		server.SetSlow(slowFactor, moment)
		if pause(ctx, moment) != nil {
			return
		}
	}
}
