package chaos

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// The time between the stops of two nodes of a series is minStopGap and up to
	// stopGapSpan more.
	minStopGap  = 300 * time.Millisecond
	stopGapSpan = 2700 * time.Millisecond
	// maxDownTime bounds the time from the end of a process to its next start.
	maxDownTime = 2 * time.Second
	// maxSeriesDelay bounds the time from the begin of a series to that of a second one.
	maxSeriesDelay = 4 * time.Second
	// A slow server takes minSlowFactor times as long and up to slowFactorSpan more.
	minSlowFactor  = 2
	slowFactorSpan = 8
)

// plannedStop is the stop of one node of a series.
type plannedStop struct {
	node *mesh.Node
	// gap is the time since the previous stop of the series, down the time until the
	// next start.
	gap, down time.Duration
	// listed says that the platform lists the instance as leaving.
	listed bool
	// reload sends SIGHUP just before SIGTERM, reloadDraining also while the node drains.
	reload, reloadDraining bool
}

// stopDomain stops all unclaimed nodes of a failure domain in series and starts each
// again.
func (i *injector) stopDomain(ctx context.Context) {
	i.startSeries(ctx, i.randomDomain(), 0)
}

// stopTwoDomains stops the nodes of a second failure domain while those of a first one
// stop.
func (i *injector) stopTwoDomains(ctx context.Context) {
	first, second := i.randomDomain(), i.randomDomain()
	i.startSeries(ctx, first, 0)
	i.startSeries(ctx, second, i.randomDuration(maxSeriesDelay))
}

func (i *injector) randomDomain() string {
	domains := mesh.Egypt().Domains
	return domains[i.random.IntN(len(domains))]
}

// startSeries claims the nodes of a failure domain and stops them in the background
// after a delay.
func (i *injector) startSeries(ctx context.Context, domain string, delay time.Duration) {
	var series []plannedStop
	listed := i.random.IntN(2) == 0
	for _, n := range i.mesh.Nodes {
		if n.Domain != domain || !i.claim(n) {
			continue
		}
		series = append(series, plannedStop{
			node: n, gap: minStopGap + i.randomDuration(stopGapSpan), down: i.randomDuration(maxDownTime),
			listed: listed, reload: i.random.IntN(3) == 0, reloadDraining: i.random.IntN(3) == 0,
		})
	}
	if len(series) == 0 {
		return
	}
	i.logf("planned stop of %d nodes of %s in %s, listed as leaving: %t", len(series), domain, delay.Round(time.Millisecond), listed)
	i.repairs.Go(func() {
		_ = clock.Wait(ctx, clock.System{}, delay) // stop and restart in any case
		for _, s := range series {
			i.repairs.Go(func() { i.stopAndRestart(ctx, s) })
			_ = clock.Wait(ctx, clock.System{}, s.gap)
		}
	})
}

// stopAndRestart stops a claimed node, starts it again and releases it. The findings of
// the run include the error of the stop.
func (i *injector) stopAndRestart(ctx context.Context, s plannedStop) {
	if s.reload {
		i.logf("reload %s before its stop", s.node.ID)
		s.node.Reload()
	}
	if s.reloadDraining {
		i.repairs.Go(func() {
			_ = clock.Wait(ctx, clock.System{}, s.gap/2)
			s.node.Reload()
		})
	}
	i.logf("SIGTERM to %s", s.node.ID)
	if err := s.node.Stop(i.grace, s.listed); err != nil {
		i.logf("planned stop of %s failed: %v", s.node.ID, err)
	} else {
		i.logf("%s ended", s.node.ID)
	}
	_ = clock.Wait(ctx, clock.System{}, s.down) // restart in any case
	i.restart(ctx, s.node)
}

// slowServer makes the server of a node slower for a random time.
func (i *injector) slowServer(context.Context) {
	n := i.mesh.Nodes[i.random.IntN(len(i.mesh.Nodes))]
	factor := minSlowFactor + slowFactorSpan*i.random.Float64()
	lasts := minFailureTime + i.randomDuration(failureTimeSpan)
	i.logf("slow the server of %s by %.1f for %s", n.ID, factor, lasts.Round(time.Millisecond))
	n.Backend.SetSlow(factor, lasts)
}
