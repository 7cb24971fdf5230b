package chaos

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/link"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

// killOne kills a node and restarts it later.
func (i *injector) killOne(ctx context.Context) {
	n, ok := i.claimNode()
	if !ok {
		return
	}
	i.logf("kill %s", n.ID)
	n.Kill()
	i.repairLater(ctx, func() { i.restart(ctx, n) })
}

// killGroup kills up to groupSize nodes and later restarts them all at the same time.
func (i *injector) killGroup(ctx context.Context) {
	var nodes []*mesh.Node
	for range groupSize {
		if n, ok := i.claimNode(); ok {
			i.logf("kill %s with others", n.ID)
			n.Kill()
			nodes = append(nodes, n)
		}
	}
	i.repairLater(ctx, func() {
		for _, n := range nodes {
			i.repairs.Go(func() { i.restart(ctx, n) })
		}
	})
}

// pauseOne pauses a node for a random time. When it resumes, its timers and its state
// are outdated, which it has to detect itself.
func (i *injector) pauseOne(ctx context.Context) {
	n, ok := i.claimNode()
	if !ok {
		return
	}
	i.logf("pause %s", n.ID)
	n.Pause()
	i.repairLater(ctx, func() {
		n.Resume()
		i.releaseNode(n)
		i.logf("resume %s", n.ID)
	})
}

// pauseRepeatedly pauses a node several times, with too little time in between to
// synchronise with other nodes.
func (i *injector) pauseRepeatedly(ctx context.Context) {
	n, ok := i.claimNode()
	if !ok {
		return
	}
	i.logf("pause %s repeatedly", n.ID)
	i.repairs.Go(func() {
		defer i.releaseNode(n)
		for range pausesInSeries {
			n.Pause()
			_ = clock.Wait(ctx, clock.System{}, minFailureTime) // resume in any case
			n.Resume()
			_ = clock.Wait(ctx, clock.System{}, minFailureTime/2)
		}
		i.logf("resume %s after the last pause", n.ID)
	})
}

// killDuringDrain starts to drain a node, kills it during the drain and restarts it.
func (i *injector) killDuringDrain(ctx context.Context) {
	n, ok := i.claimNode()
	if !ok {
		return
	}
	after := i.randomDuration(minFailureTime)
	i.logf("drain %s and kill it after %s", n.ID, after.Round(time.Millisecond))
	i.repairs.Go(func() {
		n.KillDuringDrain(after)
		i.restart(ctx, n)
	})
}

// reloadGroup makes up to groupSize random nodes reload their settings with SIGHUP.
func (i *injector) reloadGroup(context.Context) {
	for range groupSize {
		n := i.mesh.Nodes[i.random.IntN(len(i.mesh.Nodes))]
		i.logf("reload %s", n.ID)
		n.Reload()
	}
}

// resetLinks resets all connections to a node. New connections are accepted at once.
func (i *injector) resetLinks(context.Context) {
	n := i.mesh.Nodes[i.random.IntN(len(i.mesh.Nodes))]
	i.logf("reset the connections to %s", n.ID)
	defer i.mesh.BeginDisruption(n, "reset")()
	n.Traffic.Reset()
	n.Control.Reset()
}

// delayLinks adds delay and jitter to the links to a node for a random time.
func (i *injector) delayLinks(ctx context.Context) {
	n, ok := i.claimNode()
	if !ok {
		return
	}
	state := link.State{Delay: i.randomDuration(maxLinkDelay), Jitter: i.randomDuration(maxLinkDelay)}
	i.logf("delay the links to %s by %s with jitter up to %s", n.ID, state.Delay.Round(time.Millisecond), state.Jitter.Round(time.Millisecond))
	i.impairLinks(ctx, n, state)
}

// impairLinks sets the state of the links to a claimed node and later restores the
// links and releases the node.
func (i *injector) impairLinks(ctx context.Context, n *mesh.Node, state link.State) {
	end := i.mesh.BeginDisruption(n, "impaired links")
	n.Traffic.SetState(state)
	n.Control.SetState(state)
	i.repairLater(ctx, func() {
		healed := link.State{Delay: mesh.Egypt().LinkDelay}
		n.Traffic.SetState(healed)
		n.Control.SetState(healed)
		end()
		i.releaseNode(n)
		i.logf("links to %s restored", n.ID)
	})
}

func (i *injector) drainAndRestart(ctx context.Context) {
	n, ok := i.claimNode()
	if !ok {
		return
	}
	i.logf("drain and restart %s", n.ID)
	i.repairs.Go(func() { i.stopAndRestart(ctx, plannedStop{node: n, listed: true}) })
}

// crashServer crashes the backend server of a node, which restarts after restartTime.
func (i *injector) crashServer(context.Context) {
	n := i.mesh.Nodes[i.random.IntN(len(i.mesh.Nodes))]
	i.logf("crash the server of %s", n.ID)
	end := i.mesh.BeginDisruption(n, "crash of the server")
	time.AfterFunc(restartTime, end)
	n.Backend.Crash()
}

// cutLinks holds back all data on the links to a node, in one direction or both, and
// later restores the links.
func (i *injector) cutLinks(ctx context.Context) {
	n, ok := i.claimNode()
	if !ok {
		return
	}
	state := link.State{
		Delay:      mesh.Egypt().LinkDelay,
		CutForward: i.random.IntN(2) == 0,
	}
	state.CutBack = !state.CutForward || i.random.IntN(2) == 0
	i.logf("cut the links to %s: forward %t, back %t", n.ID, state.CutForward, state.CutBack)
	i.impairLinks(ctx, n, state)
}

// publishBurst publishes a version of each team's document in quick succession. Each
// version is bad with a probability of one third, except if nodes are in direct mode: a
// fresh process reads the last version only, and has no good one in its place.
func (i *injector) publishBurst(context.Context) {
	for _, team := range mesh.Egypt().Teams() {
		i.versionNumber++
		publish, kind := i.publisher.publishGood, "good"
		if bad := i.random.IntN(3) == 0; bad && !i.scenario.direct() {
			publish, kind = i.publisher.publishBad, "bad"
		}
		if err := publish(team, i.versionNumber); err != nil {
			i.logf("publishing failed: %v", err)
			continue
		}
		i.logf("publish a %s version of %s", kind, team)
	}
}
