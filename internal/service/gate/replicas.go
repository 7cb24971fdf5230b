package gate

import (
	"context"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/model"
)

// replicaTimeout bounds the calls to the replica members of an idempotency key.
const replicaTimeout = 100 * time.Millisecond

// replicateKey records the key of a call at its replica members before the call
// runs. It refuses the call if one of them knows the key, or if there are other
// members and none has recorded it. Replica members that fail are replaced by the
// next ones in rank. If this gate is not a replica member and all of them fail at the
// first attempt, the call is refused, as they may be the only members with the record
// of an earlier run.
func (s *Service) replicateKey(ctx context.Context, c *call) *refusal {
	if c.idempotencyKey == "" {
		return nil
	}
	if !s.recordsKnown.Load() {
		return notRun(model.ReasonNotReady)
	}
	record := dedupe.KeyRecord{Key: dedupe.IdempotencyKey(c.Route, c.idempotencyKey), Runner: s.runner()}
	present := s.presentMembers()
	alone := len(present) == 1
	for first := true; ; first = false {
		ranked := dedupe.ReplicaMembers(c.idempotencyKey, present)
		replicas := s.withoutSelf(slices.Clone(ranked))
		if len(replicas) == 0 {
			break
		}
		known, failed := s.peers.recordAtReplicas(ctx, s.clock, replicas, record)
		if known {
			return unknown(model.ReasonDuplicate)
		}
		if first && len(failed) == len(ranked) {
			return notRun(model.ReasonUnreachable)
		}
		c.replicas = append(c.replicas, without(replicas, failed)...)
		if len(failed) == 0 {
			break
		}
		present = without(present, failed)
	}
	if len(c.replicas) == 0 && !alone {
		return notRun(model.ReasonUnreachable)
	}
	return nil
}

// dropReplicas notifies the replica members that a call did not run.
func (s *Service) dropReplicas(c *call) {
	if len(c.replicas) == 0 {
		return
	}
	record := dedupe.KeyRecord{Key: dedupe.IdempotencyKey(c.Route, c.idempotencyKey), Runner: s.runner()}
	s.peers.dropAtReplicas(context.WithoutCancel(c.r.Context()), s.clock, c.replicas, record)
}

func (s *Service) runner() dedupe.Runner {
	return dedupe.Runner{Instance: s.self.ID, Incarnation: s.self.Incarnation}
}

// presentMembers returns the members of the service that accept requests, including
// this one.
func (s *Service) presentMembers() []model.Member {
	out := []model.Member{s.self.Member(model.PresenceReady)}
	for _, m := range s.deps.members.ServiceMembers(s.self.Service) {
		if !s.isOwn(m) && m.Present() {
			out = append(out, m)
		}
	}
	return out
}

func (s *Service) withoutSelf(members []model.Member) []model.Member {
	return slices.DeleteFunc(members, s.isOwn)
}

func without(members, excluded []model.Member) []model.Member {
	var out []model.Member
	for _, m := range members {
		if !slices.ContainsFunc(excluded, func(e model.Member) bool { return e.ID == m.ID }) {
			out = append(out, m)
		}
	}
	return out
}
