package exchange

import (
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// pollDone tells the control loop that a peer's answer was posted before it.
type pollDone struct {
	from peer
	// place is that of the peer in the role.
	place int
	round uint64
	// contact tells where the peer gets its configuration.
	contact model.PlatformContact
	// handled is closed when the messages of the answer have been handled.
	handled chan struct{}
}

// MessageName implements kernel.Message.
func (pollDone) MessageName() string { return "poll-done" }

// pollFailed tells the control loop that a peer did not answer or cannot serve.
type pollFailed struct {
	peer peer
	err  error
	// retryAfter is not 0 if the peer answered but asked for patience.
	retryAfter time.Duration
	handled    chan struct{}
}

// MessageName implements kernel.Message.
func (pollFailed) MessageName() string { return "poll-failed" }

// barrier tells an I/O goroutine that everything posted before it was handled.
type barrier struct {
	handled chan struct{}
}

// MessageName implements kernel.Message.
func (barrier) MessageName() string { return "barrier" }

func (s *Service) handlePollDone(m pollDone) {
	defer close(m.handled)
	if s.config.Direct && !s.keepFollowing(m) {
		return
	}
	s.planner.exclusions.Restore(m.from.id)
	if s.planner.failures >= orphanAfter {
		s.scheduleReplan(replanDelay)
	}
	s.planner.failures = 0
	if s.planner.configured && !s.planner.synchronised && m.round == s.role.Load().round {
		s.planner.synchronised = true
		s.loop.Emit(control.Synchronised{From: control.Origin{Peer: m.from.name()}})
	}
}

// handlePollFailed excludes a peer for a time and decides whom to poll instead.
func (s *Service) handlePollFailed(m pollFailed) {
	defer close(m.handled)
	s.stopFollowing(m.peer)
	now := s.clock.Now()
	until := now.Add(m.retryAfter)
	if m.retryAfter > 0 {
		s.planner.exclusions.MarkBusy(m.peer.id, until)
	} else {
		until = s.planner.exclusions.MarkSilent(m.peer.id, now, s.planner.rng)
		s.planner.failures++
		s.timeline.Record(timeline.KindUpstreamFailed, m.peer.name()+": "+m.err.Error())
	}
	s.loop.After(until.Sub(now)+time.Millisecond, replan{})
	s.decide()
}
