package source

import (
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// handleScope makes the I/O goroutines read what the new scope includes.
func (s *Service) handleScope(m control.ReadScopeChanged) {
	old := s.assignment.Load()
	s.readerIndex.Store(int64(m.ReaderIndex))
	s.interim.Store(m.Interim)
	s.updateHold()
	if m.Scope == old.scope {
		return
	}
	if client, ok := s.config.Platform.(scopeObserver); ok {
		client.SetScope(m.Scope, m.Known)
	}
	s.assignment.Store(assignment{scope: m.Scope, round: old.round})
	s.recordScope(old.scope, m.Scope)
}

// handlePlatformReached records whether the last listing of instances succeeded.
func (s *Service) handlePlatformReached(m control.PlatformReached) {
	s.unreached = !m.Reached
	s.updateHold()
}

func (s *Service) updateHold() {
	if hold := s.unreached && s.interim.Load(); hold != s.holdKeys.Load() {
		s.holdKeys.Store(hold)
	}
}

// scopeObserver is a platform client whose calls depend on what will be listed.
type scopeObserver interface {
	// SetScope announces which listings will be requested, and the revision up to which
	// the node knows all changes from other nodes, 0 if unknown. It does not block.
	SetScope(scope control.ReadScope, known model.Revision)
}

// Revision returns the revision up to which this node has read all changes from the
// platform, or 0. It is safe for concurrent use.
func (s *Service) Revision() model.Revision {
	return min(model.Revision(s.revisions[listingKeys].Load()), model.Revision(s.revisions[listingInstances].Load()))
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
