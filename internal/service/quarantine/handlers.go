package quarantine

import (
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/timeline"
)

// suspectsReceived carries suspects from this node's gate or from a peer to the control
// loop.
type suspectsReceived struct {
	suspects []quarantine.Suspect
	// applied is closed once the snapshot contains the suspects.
	applied chan<- struct{}
	// notifyPeers requests an exchange of suspects with all peers.
	notifyPeers bool
}

// MessageName implements kernel.Message.
func (suspectsReceived) MessageName() string { return "suspects-received" }

// expiryDue requests the removal of expired records.
type expiryDue struct{}

// MessageName implements kernel.Message.
func (expiryDue) MessageName() string { return "suspect-expiry-due" }

// expirySlack is how long after its expiry a record is removed, so that the timer
// set when it was added cannot fire too early.
const expirySlack = time.Second

func (s *Service) handleSuspectsReceived(m suspectsReceived) {
	next, changes := s.table.Load().Add(m.suspects, s.clock.Now())
	s.table.Store(next)
	close(m.applied)
	s.recordEvents(changes)
	s.loop.After(quarantine.Duration+expirySlack, expiryDue{})
	if m.notifyPeers {
		s.notifyAll.Store(true)
		s.requestExchange()
	}
}

// handleMembersChanged requests an exchange when members of this node's service change
// within discoveryPeriod of the start: the node may discover peers only after the
// exchange that follows its synchronisation.
func (s *Service) handleMembersChanged(m control.MembersChanged) {
	if s.clock.Now().Sub(s.started) > discoveryPeriod {
		return
	}
	for _, member := range m.Changed {
		if member.Service == s.self.Service && member.ID != s.self.ID {
			s.requestExchange()
			return
		}
	}
}

func (s *Service) handleExpiryDue(expiryDue) {
	next, changes := s.table.Load().Expire(s.clock.Now())
	s.table.Store(next)
	s.recordEvents(changes)
}

func (s *Service) recordEvents(changes quarantine.Changes) {
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
