package quarantine

import (
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/timeline"
)

// received carries suspects of this node or of a peer to the control loop.
type received struct {
	suspects []quarantine.Suspect
	// applied is closed when the snapshot holds the suspects.
	applied chan<- struct{}
	// spread asks to exchange suspects with the peers.
	spread bool
}

// MessageName implements kernel.Message.
func (received) MessageName() string { return "suspects-received" }

// expiryDue asks to remove records that have ended.
type expiryDue struct{}

// MessageName implements kernel.Message.
func (expiryDue) MessageName() string { return "suspect-expiry-due" }

// expirySlack delays the removal of a record beyond its end, so that one timer
// finds it ended.
const expirySlack = time.Second

func (s *Service) handleReceived(m received) {
	next, changes := s.table.Load().Add(m.suspects, s.clock.Now())
	s.table.Store(next)
	close(m.applied)
	s.record(changes)
	s.loop.After(quarantine.Duration+expirySlack, expiryDue{})
	if m.spread {
		s.tellAll.Store(true)
		s.requestPull()
	}
}

// handleMembersChanged lets a fresh node ask peers of which it hears after it has
// synchronised.
func (s *Service) handleMembersChanged(m control.MembersChanged) {
	if s.clock.Now().Sub(s.started) > acquaintance {
		return
	}
	for _, member := range m.Changed {
		if member.Service == s.self.Service && member.ID != s.self.ID {
			s.requestPull()
			return
		}
	}
}

func (s *Service) handleExpiryDue(expiryDue) {
	next, changes := s.table.Load().Expire(s.clock.Now())
	s.table.Store(next)
	s.record(changes)
}

func (s *Service) record(changes quarantine.Changes) {
	for _, f := range changes.Suspected {
		s.timeline.Record(timeline.KindRequestSuspected, f.String())
	}
	for _, f := range changes.Quarantined {
		s.timeline.Record(timeline.KindRequestQuarantined, f.String())
	}
	for _, f := range changes.Ended {
		s.timeline.Record(timeline.KindQuarantineEnded, f.String())
	}
}
