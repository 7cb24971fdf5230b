package gate

import (
	"github.com/galenalever/galenalever/internal/model"
)

// isOwn reports whether a record is of the server beside this gate. A platform
// may list it under an ID that the node does not know, at the node's address.
func (s *Service) isOwn(m model.Member) bool {
	return m.ID == s.self.ID || m.Addresses.Traffic == s.self.Addresses.Traffic
}

// applyListing takes over what the members say of the own server: its slots,
// and whether the platform has it leave. It runs on the control loop.
func (s *Service) applyListing() {
	listed, present, slots := false, false, 0
	var newest model.Member
	for _, m := range s.partners.members.ServiceMembers(s.self.Service) {
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
	s.current.Store(newest.ID)
	withdrawn := listed && !present
	if s.withdrawn.Swap(withdrawn) != withdrawn {
		s.log.Info("the platform's listing of the own server changed", "withdrawn", withdrawn)
	}
	if slots > 0 && s.listedSlots.Swap(int64(slots)) != int64(slots) {
		s.configure()
	}
}

// target returns the instance that a call is meant for. The list may name a
// newer life of the own server than the one that the caller's node has chosen.
func (s *Service) target(c *call) model.InstanceID {
	if own, _ := s.current.Load().(model.InstanceID); own != "" {
		return own
	}
	return c.Target
}

// displaced reports whether the target has been found to be gone from behind
// this gate, and the list does not name its successor yet.
func (s *Service) displaced(c *call) bool {
	gone, _ := s.gone.Load().(model.InstanceID)
	return gone != "" && s.target(c) == gone
}
