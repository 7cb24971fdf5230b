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
	s.listed.Store(&serverListing{id: newest.ID, at: newest.ListedAt})
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

// serverListing identifies a listing of the backend server. The zero value is none.
type serverListing struct {
	id model.InstanceID
	at model.Revision
}

// target returns the instance that a call is for. The platform may list a newer
// incarnation of the backend server than the one that the caller's node chose.
func (s *Service) target(c *call) model.InstanceID {
	if own := s.listed.Load(); own != nil && own.id != "" {
		return own.id
	}
	return c.Target
}

// recordGone records that the backend server has rejected a target.
func (s *Service) recordGone(target model.InstanceID) {
	gone := serverListing{id: target}
	if own := s.listed.Load(); own != nil {
		gone.at = own.at
	}
	s.gone.Store(&gone)
}

// targetGone reports whether the backend server has rejected the call's target and
// the platform lists neither its successor nor the target again since: a server may start
// again under its ID.
func (s *Service) targetGone(c *call) bool {
	gone, own := s.gone.Load(), s.listed.Load()
	return gone != nil && gone.id != "" && s.target(c) == gone.id && (own == nil || own.at <= gone.at)
}
