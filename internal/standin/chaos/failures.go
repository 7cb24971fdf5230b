package chaos

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/link"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

// killOne kills a node and starts it again later.
func (s *striker) killOne(ctx context.Context) {
	n, ok := s.claim()
	if !ok {
		return
	}
	s.logf("kill %s", n.ID)
	n.Kill()
	s.later(ctx, func() { s.startAgain(ctx, n) })
}

// killHerd kills several nodes and starts them all at the same moment.
func (s *striker) killHerd(ctx context.Context) {
	var nodes []*mesh.Node
	for range herd {
		if n, ok := s.claim(); ok {
			s.logf("kill %s with others", n.ID)
			n.Kill()
			nodes = append(nodes, n)
		}
	}
	s.later(ctx, func() {
		for _, n := range nodes {
			s.repairs.Go(func() { s.startAgain(ctx, n) })
		}
	})
}

// pauseOne stops a node, which wakes up late without knowing it.
func (s *striker) pauseOne(ctx context.Context) {
	n, ok := s.claim()
	if !ok {
		return
	}
	s.logf("pause %s", n.ID)
	n.Pause()
	s.later(ctx, func() {
		n.Resume()
		s.release(n)
		s.logf("resume %s", n.ID)
	})
}

// pauseInSeries stops a node several times, with too little time between to find
// out what it missed.
func (s *striker) pauseInSeries(ctx context.Context) {
	n, ok := s.claim()
	if !ok {
		return
	}
	s.logf("pause %s again and again", n.ID)
	s.repairs.Go(func() {
		defer s.release(n)
		for range series {
			n.Pause()
			_ = clock.Wait(ctx, clock.System{}, leastFailure) // it goes on in any case
			n.Resume()
			_ = clock.Wait(ctx, clock.System{}, leastFailure/2)
		}
		s.logf("resume %s for good", n.ID)
	})
}

// killDraining kills a node in the midst of its drain and starts it again.
func (s *striker) killDraining(ctx context.Context) {
	n, ok := s.claim()
	if !ok {
		return
	}
	after := s.upTo(leastFailure)
	s.logf("drain %s and kill it after %s", n.ID, after.Round(time.Millisecond))
	s.repairs.Go(func() {
		n.KillDuringDrain(after)
		s.startAgain(ctx, n)
	})
}

// reloadSome sends several nodes the signal to reload.
func (s *striker) reloadSome(context.Context) {
	for range herd {
		n := s.mesh.Nodes[s.random.IntN(len(s.mesh.Nodes))]
		s.logf("reload %s", n.ID)
		n.Reload()
	}
}

// resetLinks breaks all connections to a node; new ones work at once.
func (s *striker) resetLinks(context.Context) {
	n := s.mesh.Nodes[s.random.IntN(len(s.mesh.Nodes))]
	s.logf("reset the connections to %s", n.ID)
	n.Traffic.Reset()
	n.Control.Reset()
}

// delayLinks makes the links to a node slow and uneven for a time.
func (s *striker) delayLinks(ctx context.Context) {
	n, ok := s.claim()
	if !ok {
		return
	}
	slow := link.State{Delay: s.upTo(longestDelay), Jitter: s.upTo(longestDelay)}
	s.logf("delay the links to %s by %s and up to %s", n.ID, slow.Delay.Round(time.Millisecond), slow.Jitter.Round(time.Millisecond))
	s.changeLinks(ctx, n, slow)
}

// changeLinks sets the state of the links to a claimed node; later it heals.
func (s *striker) changeLinks(ctx context.Context, n *mesh.Node, state link.State) {
	n.Traffic.SetState(state)
	n.Control.SetState(state)
	s.later(ctx, func() {
		healed := link.State{Delay: mesh.Egypt().LinkDelay}
		n.Traffic.SetState(healed)
		n.Control.SetState(healed)
		s.release(n)
		s.logf("links to %s healed", n.ID)
	})
}

// restartOne drains a node and starts it again.
func (s *striker) restartOne(ctx context.Context) {
	n, ok := s.claim()
	if !ok {
		return
	}
	s.logf("drain and restart %s", n.ID)
	s.repairs.Go(func() {
		if err := n.Terminate(stopTimeout); err != nil {
			s.logf("%s did not end well: %v", n.ID, err)
		}
		s.startAgain(ctx, n)
	})
}

// crashServer crashes the server beside a node; it restarts by itself.
func (s *striker) crashServer(context.Context) {
	n := s.mesh.Nodes[s.random.IntN(len(s.mesh.Nodes))]
	s.logf("crash the server of %s", n.ID)
	n.Backend.Crash()
}

// cutLink cuts the link to a node one way or both; later it heals.
func (s *striker) cutLink(ctx context.Context) {
	n, ok := s.claim()
	if !ok {
		return
	}
	state := link.State{
		Delay:      mesh.Egypt().LinkDelay,
		CutForward: s.random.IntN(2) == 0,
	}
	state.CutBack = !state.CutForward || s.random.IntN(2) == 0
	s.logf("cut the links to %s: forward %t, back %t", n.ID, state.CutForward, state.CutBack)
	s.changeLinks(ctx, n, state)
}

// publishRace publishes versions of several teams at the same moment, some of
// them bad.
func (s *striker) publishRace(context.Context) {
	for _, team := range mesh.Egypt().Teams() {
		s.published++
		publish, kind := s.publisher.publishGood, "good"
		if s.random.IntN(3) == 0 {
			publish, kind = s.publisher.publishBad, "bad"
		}
		if err := publish(team, s.published); err != nil {
			s.logf("publishing: %v", err)
			continue
		}
		s.logf("publish a %s version of %s", kind, team)
	}
}
