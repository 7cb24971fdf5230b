package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

const (
	// The time between two failures is minInterval and up to intervalSpan more.
	minInterval  = 200 * time.Millisecond
	intervalSpan = 600 * time.Millisecond
	// A failure lasts minFailureTime and up to failureTimeSpan more.
	minFailureTime  = 300 * time.Millisecond
	failureTimeSpan = 3 * time.Second
	// groupSize is the number of nodes that are killed, or reloaded, together.
	groupSize = 4
	// pausesInSeries is the number of pauses of a node that is paused repeatedly.
	pausesInSeries = 4
	// maxLinkDelay bounds the delay and the jitter of a slow link.
	maxLinkDelay = 120 * time.Millisecond
	// minUnclaimed is the number of nodes that always remain unclaimed. They preserve the
	// configuration and the membership of the mesh.
	minUnclaimed = 6
)

// injector injects failures. The sequence of random choices depends only on the seed,
// but the timing of the processes varies.
type injector struct {
	mesh      *mesh.Mesh
	publisher *publisher
	random    *rand.Rand
	out       io.Writer
	// scenario selects the failures, grace is the time from SIGTERM to SIGKILL.
	scenario Scenario
	grace    time.Duration
	// versionNumber is the number of the version published last.
	versionNumber int
	// repairs are the goroutines that end a failure later.
	repairs sync.WaitGroup

	mu sync.Mutex
	// claimed holds the nodes that currently have a failure: killed, paused, draining or
	// with impaired links.
	claimed map[*mesh.Node]bool
	// platformFailing is true while the platform is down or responds with stale values, and
	// while it must do neither.
	platformFailing bool
	// evacuated holds the failure domains that are evacuated now, evacuations the periods
	// of those that have ended.
	evacuated   map[string]bool
	evacuations []evacuation
}

func newInjector(m *mesh.Mesh, p *publisher, c Config) *injector {
	return &injector{
		mesh:      m,
		publisher: p,
		random:    rand.New(rand.NewPCG(c.Seed, c.Seed)),
		out:       c.Out,
		scenario:  c.Scenario,
		grace:     c.Scenario.drain().grace,
		claimed:   make(map[*mesh.Node]bool),
		evacuated: make(map[string]bool),
	}
}

// run injects failures until ctx ends, then waits for all repairs and publishes a good
// version of each team's document. When repairCtx ends, the repairs no longer wait.
func (i *injector) run(ctx, repairCtx context.Context) {
	actions := i.actions()
	if i.scenario != ScenarioFailures {
		i.stopTwoDomains(repairCtx)
	}
	for clock.Wait(ctx, clock.System{}, minInterval+i.randomDuration(intervalSpan)) == nil {
		actions[i.random.IntN(len(actions))](repairCtx)
	}
	i.repairs.Wait()
	i.publishAllGood()
}

// actions returns the failures of the scenario, some repeated to be more frequent.
func (i *injector) actions() []func(context.Context) {
	failures := []func(context.Context){
		i.killOne, i.killGroup, i.pauseOne, i.pauseOne, i.drainAndRestart, i.drainAndRestart,
		i.failPlatform, i.publishBurst, i.publishBurst, i.crashServer, i.returnDomainCold, i.cutLinks,
		i.pauseRepeatedly, i.killDuringDrain, i.reloadGroup, i.resetLinks, i.delayLinks, i.evacuateDomain,
		i.floodNode, i.floodNode,
	}
	planned := []func(context.Context){
		i.stopDomain, i.stopTwoDomains, i.reloadGroup, i.publishBurst, i.failPlatform, i.slowServer, i.returnDomainCold, i.evacuateDomain,
	}
	switch i.scenario {
	case ScenarioStops:
		return planned
	case ScenarioMixed:
		return append(failures, planned...)
	default:
		return failures
	}
}

// randomDuration returns a random duration in [0, span).
func (i *injector) randomDuration(span time.Duration) time.Duration {
	return time.Duration(i.random.Int64N(int64(span)))
}

// logf writes a line with the current time to the report.
func (i *injector) logf(format string, args ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	fmt.Fprintf(i.out, "%s  %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// claimNode picks a random node and marks it as having a failure. It returns false if
// the node already has one or fewer than minUnclaimed nodes would remain unclaimed.
func (i *injector) claimNode() (*mesh.Node, bool) {
	n := i.mesh.Nodes[i.random.IntN(len(i.mesh.Nodes))]
	return n, i.claim(n)
}

// claim is claimNode for a given node.
func (i *injector) claim(n *mesh.Node) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.claimed[n] || len(i.claimed) >= len(i.mesh.Nodes)-minUnclaimed {
		return false
	}
	i.claimed[n] = true
	return true
}

func (i *injector) releaseNode(n *mesh.Node) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.claimed, n)
}

// repairLater calls repair after a random time, in the background.
func (i *injector) repairLater(ctx context.Context, repair func()) {
	after := minFailureTime + i.randomDuration(failureTimeSpan)
	i.repairs.Go(func() {
		_ = clock.Wait(ctx, clock.System{}, after) // repair in any case
		repair()
	})
}

// restart starts a claimed node and releases it, even if the start fails.
func (i *injector) restart(ctx context.Context, n *mesh.Node) {
	defer i.releaseNode(n)
	if err := n.Start(ctx); err != nil {
		i.logf("restart of %s failed: %v", n.ID, err)
		return
	}
	i.logf("%s restarted", n.ID)
}

// publishAllGood publishes a good version of each team's document.
func (i *injector) publishAllGood() {
	i.versionNumber++
	for _, team := range mesh.Egypt().Teams() {
		if err := i.publisher.publishGood(team, i.versionNumber); err != nil {
			i.logf("publishing failed: %v", err)
		}
	}
}

// failPlatform takes the platform down for a random time. Then the platform responds
// with stale values for another time, and with current ones after that. It does nothing
// if the platform already fails. Nodes in direct mode are spared stale values: a fresh
// process has only the platform to tell it the versions that were in force.
func (i *injector) failPlatform(ctx context.Context) {
	i.mu.Lock()
	alreadyFailing := i.platformFailing
	i.platformFailing = true
	i.mu.Unlock()
	if alreadyFailing {
		return
	}
	outage := []platform.Outage{platform.OutageError, platform.OutageClosed, platform.OutageSilent}[i.random.IntN(3)]
	old := i.mesh.Platform.Revision() / 2
	staleTime := minFailureTime + i.randomDuration(failureTimeSpan)
	if i.scenario.direct() {
		old, staleTime = 0, 0
	}
	i.logf("platform down (%s), then stale at revision %d for %s", outage, old, staleTime.Round(time.Millisecond))
	i.mesh.Platform.SetMode(platform.Mode{Outage: outage})
	i.repairLater(ctx, func() {
		i.mesh.Platform.SetMode(platform.Mode{})
		if staleTime > 0 {
			i.mesh.Platform.SetStaleAt(old)
			_ = clock.Wait(ctx, clock.System{}, staleTime) // repair in any case
			i.mesh.Platform.SetMode(platform.Mode{})
		}
		i.logf("platform up and current")
		i.mu.Lock()
		defer i.mu.Unlock()
		i.platformFailing = false
	})
}
