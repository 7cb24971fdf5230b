package source

import (
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

func (s *Service) handleScope(m control.ReadScopeChanged) {
	old := s.order.Load()
	s.place.Store(int64(m.Place))
	s.followed.Store(m.Followed)
	if m.Scope == old.scope {
		return
	}
	s.answered.Store(false) // the next listing of keys tells
	if client, ok := s.config.Platform.(scoped); ok {
		client.ReadKeys(m.Scope >= control.ReadAll)
	}
	s.order.Store(order{scope: m.Scope, round: old.round})
	s.recordScope(old.scope, m.Scope)
}

// scoped is a client of the platform that reads less while no keys are listed.
type scoped interface {
	// ReadKeys does not block.
	ReadKeys(wanted bool)
}

// Contact tells where this node gets its configuration. Any goroutine may call
// it.
func (s *Service) Contact() model.PlatformContact {
	switch {
	case s.order.Load().scope < control.ReadAll:
		return model.ContactNone
	case !s.answered.Load():
		return model.ContactLost
	default:
		return model.ContactCurrent
	}
}

// watchWait returns how long a listing without news is held back.
func (s *Service) watchWait() time.Duration {
	if s.followed.Load() {
		return s.config.Pacing.FollowedWait
	}
	return s.config.Pacing.WatchWait
}

func (s *Service) recordScope(old, next control.ReadScope) {
	s.log.Info("scope of reading the platform changed", "from", old.String(), "to", next.String())
	switch {
	case old == control.ReadNothing:
		s.timeline.Record(timeline.KindSourceStarted, "")
	case next == control.ReadNothing:
		s.timeline.Record(timeline.KindSourceStopped, "")
	}
}

func (s *Service) handlePaused(control.Paused) {
	next := s.order.Load()
	next.round++
	clear(s.confirmed)
	s.order.Store(next)
}
