package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"
)

// Added latency: two nodes between the caller and a server that answers at
// once, against calling the server directly.
const (
	latencyWorkers = 2
	// latencyRate is the target's share of one node, in calls a second.
	latencyRate  = 390.0 * latencyWorkers
	latencyLasts = 8 * time.Second
	// saturationLasts is the time of the closed loop.
	saturationLasts = 5 * time.Second
	// saturationCallers is the number of callers of the closed loop.
	saturationCallers = 8
	// addedTarget is the users' target for the p99 of the added latency.
	addedTarget = 470 * time.Microsecond
)

type latencyCommand struct{ options }

// Run implements the command.
func (c *latencyCommand) Run(w io.Writer) error { return c.run(w, latency) }

func latency(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Latency that two nodes add to a call",
		Setup: fmt.Sprintf("server answers at once; open loop at 390/s per node, then %d callers in a closed loop; target %s at p99; seed %d",
			saturationCallers, milliseconds(addedTarget), o.Seed),
		Columns: []string{"path", "calls", "p50", "p99", "added p50", "added p99", "ratio p50", "saturated calls/s"},
	}
	m, err := startMesh(ctx, o, meshSettings{
		workers: latencyWorkers, domains: 1,
		tree: treeSettings{queue: boundedQueue, uploadClass: "long", deadline: crestDeadline},
	})
	if err != nil {
		return table, err
	}
	var servers []string
	for _, n := range m.Nodes {
		servers = append(servers, n.Backend.Address())
	}
	direct, directRate := measureCalls(ctx, o, servers)
	through, throughRate := measureCalls(ctx, o, m.Callers())
	table.Rows = [][]string{
		{
			"direct", fmt.Sprint(direct.total), milliseconds(direct.quantile(50)), milliseconds(direct.quantile(99)),
			"-", "-", "1.0", fmt.Sprintf("%.0f", directRate),
		},
		{
			"through nodes", fmt.Sprint(through.total), milliseconds(through.quantile(50)), milliseconds(through.quantile(99)),
			milliseconds(through.quantile(50) - direct.quantile(50)), milliseconds(through.quantile(99) - direct.quantile(99)),
			fmt.Sprintf("%.1f", float64(through.quantile(50))/float64(max(direct.quantile(50), 1))), fmt.Sprintf("%.0f", throughRate),
		},
	}
	return table, m.Close(closeLimit)
}

// measureCalls plays the open loop, then the closed loop, and returns the
// summary of the first and the rate of the second.
func measureCalls(ctx context.Context, o options, addresses []string) (summary, float64) {
	c := newCaller(addresses, http.MethodGet, readPath, 0)
	defer c.close()
	warm := schedule([]phase{{rate: latencyRate, lasts: time.Second}}, o.Seed+1)
	play(ctx, warm, func(i int) result { return c.send(ctx, i) })
	runtime.GC()
	samples := play(ctx, schedule([]phase{{rate: latencyRate, lasts: latencyLasts}}, o.Seed), func(i int) result { return c.send(ctx, i) })
	return summarise(samples, inPhase(0)), saturate(ctx, c)
}

// saturate calls without pause and returns the answered calls a second.
func saturate(ctx context.Context, c *caller) float64 {
	counts := make([]int, saturationCallers)
	end := time.Now().Add(saturationLasts)
	var callers sync.WaitGroup
	for n := range saturationCallers {
		callers.Go(func() {
			for i := n; time.Now().Before(end) && ctx.Err() == nil; i++ {
				if c.send(ctx, i) == resultAnswered {
					counts[n]++
				}
			}
		})
	}
	callers.Wait()
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return float64(sum) / saturationLasts.Seconds()
}
