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
	for _, m := range s.partners.members.ServiceMembers(s.self.Service) {
		if !s.isOwn(m) || m.Listed == model.ListingUnknown {
			continue
		}
		listed = true
		if m.Present() {
			present, slots = true, m.Slots
		}
	}
	withdrawn := listed && !present
	if s.withdrawn.Swap(withdrawn) != withdrawn {
		s.log.Info("the platform's listing of the own server changed", "withdrawn", withdrawn)
	}
	if slots > 0 && s.listedSlots.Swap(int64(slots)) != int64(slots) {
		s.configure()
	}
}
