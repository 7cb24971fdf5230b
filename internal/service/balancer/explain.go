package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// frozenPool is a copy of the statistics of a pool. It implements balance.Pool.
type frozenPool []balance.Statistics

func (p frozenPool) Len() int { return len(p) }

func (p frozenPool) At(position int) balance.Statistics { return p[position] }

// Explain describes the choice that Pick, or PickOwner if there is a key, would make now
// for a first attempt. It draws no random number of the service and changes nothing.
func (s *Service) Explain(
	d *route.Destination, class model.Class, kind string, objective time.Duration, key string,
) status.Selection {
	p, now := s.peekPool(d), s.now()
	view := poolView{pool: p, class: classIndex(class), scale: s.kinds.scale(d.Service.Name, kind), now: now}
	frozen := make(frozenPool, view.Len())
	for i := range frozen {
		frozen[i] = view.At(i)
	}
	penalty := balance.CrossDomainPenalty(objective)
	const seed = 1 // the same statistics give the same answer
	explained := balance.Explain(s.config.Policy, frozen, penalty, s.kinds.hop(d.Service.Name), now, rand.NewPCG(seed, seed))
	out := status.Selection{ByKey: key != "", Panic: explained.Panic, CrossDomainPenalty: penalty, Candidates: []status.WhereCandidate{}}
	for i, server := range explained.Servers {
		switch {
		case server.Exclusion == balance.NotExcluded:
			out.Candidates = append(out.Candidates, p.candidate(p.servers[i], server, now))
		case server.Exclusion == balance.BeyondSubset:
			out.BeyondSubset++
		default:
			out.Excluded = append(out.Excluded, excluded(p.servers[i], server, now))
		}
	}
	if key != "" {
		out.Panic = false
		s.explainOwner(&out, p, explained.Servers, s.owner(d, key, nil, now), now)
	}
	slices.SortStableFunc(out.Candidates, func(a, b status.WhereCandidate) int {
		return cmp.Or(cmp.Compare(b.Chosen, a.Chosen), cmp.Compare(a.Cost.Total, b.Cost.Total))
	})
	return out
}

// explainOwner replaces the candidates by the owner of an idempotency key.
func (s *Service) explainOwner(out *status.Selection, p *pool, views []balance.ServerView, owner *route.Endpoint, now time.Duration) {
	out.Candidates, out.BeyondSubset = []status.WhereCandidate{}, 0
	for i, server := range p.servers {
		if server.endpoint != owner {
			continue
		}
		views[i].Chosen, views[i].MaxQueueWait = 1, 0
		out.Candidates = append(out.Candidates, p.candidate(server, views[i], now))
		out.Excluded = slices.DeleteFunc(out.Excluded, func(e status.WhereExcluded) bool { return e.Instance == owner.ID.Instance })
	}
}

// peekPool returns the pool that a request would use, without keeping anything of a new one.
func (s *Service) peekPool(d *route.Destination) *pool {
	if p, ok := s.pools.Load(d); ok {
		return p.(*pool)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newPool(d, s.poolKindOf(d), false)
}

func (p *pool) candidate(s *server, v balance.ServerView, now time.Duration) status.WhereCandidate {
	c := status.WhereCandidate{
		Instance: s.endpoint.ID.Instance, Domain: s.endpoint.Domain, Address: s.endpoint.Address, Local: v.Local,
		Chosen: v.Chosen, Failures: v.Health.Failures, LastFailure: s.lastFailureOf(v), Saturated: v.Saturated, MaxQueueWait: v.MaxQueueWait,
		Cost: status.WhereCost{
			Total: v.Cost.Total, SlotWait: v.Cost.SlotWait, Latency: v.Cost.Latency, Silence: v.Silence,
			Pending: v.Cost.Pending, Outstanding: v.Outstanding, Slots: v.Slots,
		},
	}
	if v.Latency > 0 {
		age := now - v.LatencyAt
		c.Cost.LatencyAge = &age
	}
	if s.load.Load() != nil {
		c.Load = &status.WhereLoad{InFlight: v.Load.InFlight, Queued: v.Load.Queued, Wait: v.Load.Wait, Age: now - v.LoadAt}
	}
	if v.SlowStartShare < 1 {
		c.SlowStart = v.SlowStartShare
	}
	if period := s.coldness.period.Load(); v.ColdRatePerSlot > 0 && period != nil {
		c.Cold = &status.WhereCold{
			Rate: float64(p.warmup.PerSecond()), Share: v.ColdShare, Left: s.coldness.leftAt(now), Age: now - period.since,
		}
	}
	return c
}

func excluded(s *server, v balance.ServerView, now time.Duration) status.WhereExcluded {
	return status.WhereExcluded{
		Instance: s.endpoint.ID.Instance, Domain: s.endpoint.Domain, Reason: v.Exclusion.String(),
		Left: max(v.Health.EjectedUntil-now, 0), Failures: v.Health.Failures, LastFailure: s.lastFailureOf(v),
	}
}

// lastFailureOf returns the reason of the last failure if the server has not been healthy
// since.
func (s *server) lastFailureOf(v balance.ServerView) model.Reason {
	if reason := s.lastFailure.Load(); reason != nil && (v.Health.Failures > 0 || v.Health.EjectedUntil > 0) {
		return *reason
	}
	return ""
}
