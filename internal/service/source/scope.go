package source

import (
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// handleScope makes the I/O goroutines read what the new scope includes.
func (s *Service) handleScope(m control.ReadScopeChanged) {
	old := s.assignment.Load()
	s.readerIndex.Store(int64(m.ReaderIndex))
	s.followed.Store(m.Followed)
	if m.Scope == old.scope {
		return
	}
	s.keysListed.Store(false) // until the next listing of keys succeeds
	if client, ok := s.config.Platform.(keyReadSwitch); ok {
		client.ReadKeys(m.Scope >= control.ReadAll)
	}
	s.assignment.Store(assignment{scope: m.Scope, round: old.round})
	s.recordScope(old.scope, m.Scope)
}

// keyReadSwitch is a platform client that reads less while no keys are listed.
type keyReadSwitch interface {
	// ReadKeys announces whether Keys will be called. It does not block.
	ReadKeys(wanted bool)
}

// Contact reports whether this node reads its configuration from the platform and
// whether the last listing of keys succeeded. It is safe for concurrent use.
func (s *Service) Contact() model.PlatformContact {
	switch {
	case s.assignment.Load().scope < control.ReadAll:
		return model.ContactNone
	case !s.keysListed.Load():
		return model.ContactLost
	default:
		return model.ContactCurrent
	}
}

// watchWait returns the long-poll wait of a listing.
func (s *Service) watchWait() time.Duration {
	if s.followed.Load() {
		return s.config.Pacing.FollowedWait
	}
	return s.config.Pacing.WatchWait
}

// recordScope logs a change of the scope. It records in the timeline that this node
// starts or stops reading.
func (s *Service) recordScope(old, next control.ReadScope) {
	s.log.Info("scope of reading the platform changed", "from", old.String(), "to", next.String())
	switch {
	case old == control.ReadNothing:
		s.timeline.Record(timeline.KindSourceStarted, "")
	case next == control.ReadNothing:
		s.timeline.Record(timeline.KindSourceStopped, "")
	}
}

// handlePaused begins a new round, since the lists may have changed while the process
// did not run.
func (s *Service) handlePaused(control.Paused) {
	next := s.assignment.Load()
	next.round++
	clear(s.confirmed)
	s.assignment.Store(next)
}
