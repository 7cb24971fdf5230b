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

// Added latency: calls through two nodes to a server that responds at once,
// compared with direct calls to the server.
const (
	latencyServers = 2
	// latencyRate is in calls per second; 390 is the users' target rate per node.
	latencyRate     = 390.0 * latencyServers
	latencyDuration = 8 * time.Second
	// saturationDuration is the duration of the closed loop.
	saturationDuration = 5 * time.Second
	// saturationCallers is the number of concurrent callers of the closed loop.
	saturationCallers = 8
	// addedLatencyTarget is the users' target for the p99 of the added latency.
	addedLatencyTarget = 470 * time.Microsecond
)

type latencyCommand struct{ options }

// Run performs the experiment.
func (c *latencyCommand) Run(w io.Writer) error { return c.run(w, latency) }

func latency(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Latency that two nodes add to a call",
		Setup: fmt.Sprintf("server responds at once; open loop at 390/s per node, then %d callers in a closed loop; target %s at p99; seed %d",
			saturationCallers, milliseconds(addedLatencyTarget), o.Seed),
		Columns: []string{"path", "calls", "p50", "p99", "added p50", "added p99", "ratio p50", "saturated calls/s"},
	}
	m, err := startMesh(ctx, o, meshSettings{
		workers: latencyServers, domains: 1,
		document: documentSettings{queue: boundedQueue, uploadClass: "long", deadline: readDeadline},
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
			"direct", fmt.Sprint(direct.total), milliseconds(direct.percentile(50)), milliseconds(direct.percentile(99)),
			"-", "-", "1.0", fmt.Sprintf("%.0f", directRate),
		},
		{
			"through nodes", fmt.Sprint(through.total), milliseconds(through.percentile(50)), milliseconds(through.percentile(99)),
			milliseconds(through.percentile(50) - direct.percentile(50)), milliseconds(through.percentile(99) - direct.percentile(99)),
			fmt.Sprintf("%.1f", float64(through.percentile(50))/float64(max(direct.percentile(50), 1))), fmt.Sprintf("%.0f", throughRate),
		},
	}
	return table, m.Close(closeTimeout)
}

// measureCalls runs the open loop after a warm-up, then the closed loop. It returns
// the summary of the open loop and the throughput of the closed loop in calls per
// second.
func measureCalls(ctx context.Context, o options, addresses []string) (summary, float64) {
	c := newCaller(addresses, http.MethodGet, readPath, 0)
	defer c.close()
	warmUp := poissonSchedule([]phase{{rate: latencyRate, duration: time.Second}}, o.Seed+1)
	runOpenLoop(ctx, warmUp, func(i int) result { return c.send(ctx, i) })
	runtime.GC()
	samples := runOpenLoop(ctx, poissonSchedule([]phase{{rate: latencyRate, duration: latencyDuration}}, o.Seed), func(i int) result { return c.send(ctx, i) })
	return summarise(samples, inPhase(0)), measureThroughput(ctx, c)
}

// measureThroughput runs the closed loop and returns the answered calls per second.
func measureThroughput(ctx context.Context, c *caller) float64 {
	counts := make([]int, saturationCallers)
	end := time.Now().Add(saturationDuration)
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
	return float64(sum) / saturationDuration.Seconds()
}
