package gate

import (
	"github.com/galenalever/galenalever/internal/model"
)

// isOwn reports whether a member is the backend server of this node. A platform may
// list it under an ID that the node does not know, but with the node's address.
func (s *Service) isOwn(m model.Member) bool {
	return m.ID == s.self.ID || m.Addresses.Traffic == s.self.Addresses.Traffic
}

// applyListing applies the platform's listing of the backend server: its slots and
// whether it is leaving. It runs on the control loop.
func (s *Service) applyListing() {
	listed, present, slots := false, false, 0
	var newest model.Member
	for _, m := range s.deps.members.ServiceMembers(s.self.Service) {
		if !s.isOwn(m) || m.Listed == model.ListingUnknown {
			continue
		}
		listed = true
		if m.Present() {
			present, slots = true, m.Slots
			if newest.ID == "" || m.NewerThan(newest) {
				newest = m
			}
		}
	}
	s.listedID.Store(newest.ID)
	s.applyListedWarmup(newest)
	s.applyWithdrawal(listed && !present)
	if slots > 0 && s.listedSlots.Swap(int64(slots)) != int64(slots) {
		s.configure()
	}
}

// applyWithdrawal refuses queued requests when the platform begins to list the backend server
// as leaving. Running requests go on.
func (s *Service) applyWithdrawal(withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn.Swap(withdrawn) == withdrawn {
		return
	}
	s.log.Info("platform listing of the backend server changed", "withdrawn", withdrawn)
	if withdrawn {
		s.deliver(s.admission.RefuseQueued(model.ReasonLeaving))
	}
}

// target returns the instance that a call is for. The platform may list a newer
// incarnation of the backend server than the one that the caller's node chose.
func (s *Service) target(c *call) model.InstanceID {
	if own, _ := s.listedID.Load().(model.InstanceID); own != "" {
		return own
	}
	return c.Target
}

// targetGone reports whether the backend server has rejected the call's target and
// the platform does not list its successor yet.
func (s *Service) targetGone(c *call) bool {
	gone, _ := s.goneID.Load().(model.InstanceID)
	return gone != "" && s.target(c) == gone
}
