package balancer

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
)

// pool returns the pool of a destination and builds it on first use.
func (s *Service) pool(d *route.Destination) *pool {
	if p, ok := s.pools.Load(d); ok {
		return p.(*pool)
	}
	return s.buildPool(d)
}

// buildPool builds the pool of a destination. It replaces the pool of the
// service's previous destination, unless that one is newer.
func (s *Service) buildPool(d *route.Destination) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools.Load(d); ok {
		return p.(*pool)
	}
	previous, kind := s.current[d.Service.Name], s.poolKindOf(d)
	p := s.newPool(d, kind, kind != poolOfOldTable)
	if kind == poolOfOldTable {
		return p
	}
	s.current[d.Service.Name] = d
	s.pools.Store(d, p)
	if previous != nil {
		s.pools.Delete(previous)
		s.forget(previous, d)
	}
	return p
}

// poolKindOf returns the kind of a new pool. The caller must hold s.mu.
func (s *Service) poolKindOf(d *route.Destination) poolKind {
	previous := s.current[d.Service.Name]
	switch {
	case previous == nil:
		return poolOfNewService
	case previous.Generation > d.Generation:
		return poolOfOldTable
	}
	return poolOfChangedService
}

// forget deletes the statistics of endpoints of previous that next does not have. It
// keeps those of evacuated endpoints for their return.
func (s *Service) forget(previous, next *route.Destination) {
	for _, e := range slices.Concat(previous.Endpoints, previous.Evacuated) {
		if !contains(next.Endpoints, e) && !contains(next.Evacuated, e) {
			s.servers.Delete(e)
		}
	}
}

// discoveryPeriod is how long after its start a node is still discovering the
// members; servers that appear in this time are not new and need no slow start.
const discoveryPeriod = 5 * time.Second

// poolKind is the reason for which a pool is built.
type poolKind uint8

const (
	// poolOfNewService is the first pool of a service; its servers need no slow
	// start.
	poolOfNewService poolKind = iota
	// poolOfChangedService replaces a pool after a change of members; new servers
	// begin with slow start.
	poolOfChangedService
	// poolOfOldTable serves one request that started with an older routing table;
	// statistics created for it are not kept.
	poolOfOldTable
)

// newPool returns a pool with the servers of a destination in this node's order of
// preference. With keep, the statistics that it creates are kept for later pools.
func (s *Service) newPool(d *route.Destination, kind poolKind, keep bool) *pool {
	p := &pool{service: d.Service, warmup: s.config.Warmup.Limits(d.Service), servers: make([]*server, 0, len(d.Endpoints))}
	known := make([]balance.Server, len(d.Endpoints))
	for i, e := range d.Endpoints {
		known[i] = balance.Server{Instance: e.ID.Instance, Local: e.Domain == s.config.Self.Domain}
	}
	for _, i := range balance.Rank(s.config.Self.ID, known) {
		p.servers = append(p.servers, s.server(d, d.Endpoints[i], known[i].Local, kind, keep))
	}
	return p
}

// server returns the statistics of an endpoint and creates them if there are none.
func (s *Service) server(d *route.Destination, e *route.Endpoint, local bool, kind poolKind, keep bool) *server {
	if known, ok := s.servers.Load(e); ok {
		return known.(*server)
	}
	created := &server{endpoint: e, service: d.Service.Name, local: local, coldness: s.coldnessOf(e.ID.Instance, keep)}
	created.slowStartSince.Store(int64(-d.Service.SlowStart)) // slow start is over
	if kind == poolOfChangedService && !e.ListedEvacuated && s.now() > discoveryPeriod {
		created.slowStartSince.Store(int64(s.now()))
	}
	if keep {
		s.servers.Store(e, created)
	}
	return created
}

func contains(endpoints []*route.Endpoint, e *route.Endpoint) bool {
	for _, other := range endpoints {
		if other == e {
			return true
		}
	}
	return false
}
