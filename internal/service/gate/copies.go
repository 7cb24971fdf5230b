package gate

import (
	"context"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/model"
)

// copyTimeout bounds the wait for the keepers of an idempotency key.
const copyTimeout = 100 * time.Millisecond

// copyKey records the key of a call at its keepers before the call runs. It
// refuses the call if a keeper knows the key, or if no other member has recorded
// it although there are others. A keeper that fails is replaced by the next, but
// if all keepers fail, the call is refused: they may be the only ones that know
// of an earlier run.
func (s *Service) copyKey(ctx context.Context, c *call) *refusal {
	if c.idempotencyKey == "" {
		return nil
	}
	if !s.recordsKnown.Load() {
		return notRun(model.ReasonNotReady)
	}
	record := dedupe.Copy{Key: dedupe.IdempotencyKey(c.Route, c.idempotencyKey), Runner: s.runner()}
	present := s.present()
	alone := len(present) == 1
	for first := true; ; first = false {
		ranked := dedupe.Keepers(c.idempotencyKey, present)
		keepers := s.withoutSelf(slices.Clone(ranked))
		if len(keepers) == 0 {
			break
		}
		known, failed := s.peers.recordAt(ctx, s.clock, keepers, record)
		if known {
			return unknown(model.ReasonDuplicate)
		}
		if first && len(failed) == len(ranked) {
			return notRun(model.ReasonUnreachable)
		}
		c.copies = append(c.copies, without(keepers, failed)...)
		if len(failed) == 0 {
			break
		}
		present = without(present, failed)
	}
	if len(c.copies) == 0 && !alone {
		return notRun(model.ReasonUnreachable)
	}
	return nil
}

// dropCopies tells the keepers that a call did not run.
func (s *Service) dropCopies(c *call) {
	if len(c.copies) == 0 {
		return
	}
	record := dedupe.Copy{Key: dedupe.IdempotencyKey(c.Route, c.idempotencyKey), Runner: s.runner()}
	s.peers.dropAt(context.WithoutCancel(c.r.Context()), s.clock, c.copies, record)
}

func (s *Service) runner() dedupe.Runner {
	return dedupe.Runner{Instance: s.self.ID, Incarnation: s.self.Incarnation}
}

// present returns the members of the service that take requests, this one
// included.
func (s *Service) present() []model.Member {
	out := []model.Member{s.self.Member(model.PresenceReady)}
	for _, m := range s.partners.members.ServiceMembers(s.self.Service) {
		if !s.isOwn(m) && m.Present() {
			out = append(out, m)
		}
	}
	return out
}

func (s *Service) withoutSelf(members []model.Member) []model.Member {
	return slices.DeleteFunc(members, s.isOwn)
}

// without returns the members that are not in excluded.
func without(members, excluded []model.Member) []model.Member {
	var out []model.Member
	for _, m := range members {
		if !slices.ContainsFunc(excluded, func(e model.Member) bool { return e.ID == m.ID }) {
			out = append(out, m)
		}
	}
	return out
}
