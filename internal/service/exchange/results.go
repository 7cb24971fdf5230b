package exchange

import (
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// pollDone is the message that is posted after the messages of a peer's response.
type pollDone struct {
	from peer
	// upstreamIndex is the index of the peer in role.upstreams.
	upstreamIndex int
	// generation is that of the role when the poll was sent.
	generation uint64
	// contact is the peer's contact with the platform, and platformRevision the revision
	// of the platform up to which it knew all changes.
	contact          model.PlatformContact
	platformRevision model.Revision
	// cutRevision is the revision of the peer's cut.
	cutRevision model.Revision
	// withoutMembers is true if the peer first needs the digests of this node's members.
	withoutMembers bool
	// search is pollOptions.search.
	search bool
	// handled is closed when all messages of the response have been handled.
	handled chan struct{}
}

// MessageName implements kernel.Message.
func (pollDone) MessageName() string { return "poll-done" }

// pollFailed is the message that a peer did not respond, or refused the poll because it
// is busy.
type pollFailed struct {
	peer peer
	err  error
	// retryAfter is not 0 if the peer is busy and asked to be polled later.
	retryAfter time.Duration
	// handled is closed when the role has been updated.
	handled chan struct{}
}

// MessageName implements kernel.Message.
func (pollFailed) MessageName() string { return "poll-failed" }

// barrier is the message that closes handled, which shows that all messages posted
// before it have been handled.
type barrier struct {
	handled chan struct{}
}

// MessageName implements kernel.Message.
func (barrier) MessageName() string { return "barrier" }

// handlePollDone ends the exclusion of the peer and, on the first response of a
// generation, reports that this node is synchronised. In direct mode it does so only if
// the peer may be followed.
func (s *Service) handlePollDone(m pollDone) {
	defer close(m.handled)
	if m.search {
		s.handleSearchDone(m)
		return
	}
	if s.config.Direct {
		s.recordResponse()
		if !s.confirmUpstream(m) {
			return
		}
	}
	s.planner.exclusions.Restore(m.from.id)
	if s.planner.failures >= platformFallbackFailures {
		s.scheduleReplan(replanDelay)
	}
	s.planner.failures = 0
	if s.planner.configured && !s.planner.synchronised && m.generation == s.role.Load().generation {
		s.planner.synchronised = true
		s.loop.Emit(control.Synchronised{From: control.Origin{Peer: m.from.name()}})
	}
}

// handlePollFailed excludes a peer for a time and selects another one to poll.
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
	s.updateRole()
}
