// Package balancer is the service that keeps what traffic observes about each
// endpoint and chooses a server for each attempt. Requests read and write the
// statistics without locks.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// recorder is the part of the timeline service that the balancer uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config is what the service needs to know.
type Config struct {
	Self model.Self
	// Random supplies random numbers to concurrent callers; nil means the
	// process-wide generator.
	Random balance.Source
	// Policy is PolicyAdaptive unless an experiment asks for a baseline.
	Policy balance.Policy
}

// Service chooses servers. Its methods are safe for concurrent use.
type Service struct {
	config Config
	clock  clock.Clock
	start  time.Time
	events recorder

	pools   sync.Map // *route.Destination -> *pool
	servers sync.Map // *route.Endpoint -> *server

	mu sync.Mutex // held while a pool is built
	// current holds the newest destination of each service that has a pool.
	current map[model.ServiceName]*route.Destination
}

// New returns the service.
func New(config Config) *Service {
	if config.Random == nil {
		config.Random = processRandom{}
	}
	return &Service{config: config, current: make(map[model.ServiceName]*route.Destination)}
}

type processRandom struct{}

func (processRandom) Uint64() uint64 { return rand.Uint64() }

// Name implements kernel.Service.
func (*Service) Name() string { return control.Balancer }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	events, err := kernel.Find[recorder](c, control.Timeline)
	if err != nil {
		return err
	}
	s.events = events
	s.clock = c.Clock
	s.start = c.Clock.Now()
	return nil
}

// now returns the time since the start of the service.
func (s *Service) now() time.Duration { return s.clock.Now().Sub(s.start) }

// Pick chooses a server of the destination that is not among tried and counts
// the attempt as outstanding. It returns nil if there is none. Every pick must
// be followed by one Done. The objective is that of the request, or 0. The
// duration is balance.Patience for the choice.
func (s *Service) Pick(
	d *route.Destination, class model.Class, objective time.Duration, tried []*route.Endpoint,
) (*route.Endpoint, time.Duration) {
	p := s.pool(d)
	now := s.now()
	view := poolView{pool: p, class: classIndex(class), tried: tried, now: now}
	locality := balance.CrossDomainPenalty(objective)
	chosen := balance.ChooseBy(s.config.Policy, &view, locality, now, s.config.Random)
	if chosen == balance.None {
		return nil, 0
	}
	patience := balance.MaxQueueWait(&view, chosen, locality, now)
	picked := p.servers[chosen]
	picked.classes[view.class].begin(now)
	return picked.endpoint, patience
}

// PickOwner chooses the server that keeps the memory of an idempotency key, as
// Pick does. While the owner is ejected the next in the key's order takes its
// place.
func (s *Service) PickOwner(
	d *route.Destination, class model.Class, key string, tried []*route.Endpoint,
) *route.Endpoint {
	s.pool(d)
	now := s.now()
	owner := ownerOf(d, key, func(e *route.Endpoint) bool { return contains(tried, e) || s.ejected(e, now) })
	if owner == nil {
		owner = ownerOf(d, key, func(e *route.Endpoint) bool { return contains(tried, e) })
	}
	if owner != nil {
		s.Begin(owner, class)
	}
	return owner
}

func ownerOf(d *route.Destination, key string, excluded func(*route.Endpoint) bool) *route.Endpoint {
	i := balance.Owner(key, len(d.Endpoints),
		func(i int) model.InstanceID { return d.Endpoints[i].ID.Instance },
		func(i int) bool { return excluded(d.Endpoints[i]) })
	if i == balance.None {
		return nil
	}
	return d.Endpoints[i]
}

func (s *Service) ejected(e *route.Endpoint, now time.Duration) bool {
	known, ok := s.servers.Load(e)
	return ok && known.(*server).currentHealth().Ejected(now)
}

// Begin counts one more attempt at a picked endpoint. It must be followed by
// one Done.
func (s *Service) Begin(e *route.Endpoint, class model.Class) {
	if known, ok := s.servers.Load(e); ok {
		known.(*server).classes[classIndex(class)].begin(s.now())
	}
}

// Done takes the outcome of an attempt at a picked endpoint into account.
func (s *Service) Done(e *route.Endpoint, class model.Class, r balance.Report) {
	known, ok := s.servers.Load(e)
	if !ok {
		return // the endpoint left the table meanwhile
	}
	known.(*server).done(s, classIndex(class), r)
}

// pool returns the pool of a destination.
func (s *Service) pool(d *route.Destination) *pool {
	if p, ok := s.pools.Load(d); ok {
		return p.(*pool)
	}
	return s.buildPool(d)
}

// buildPool makes the pool of a destination that was not asked for before. It
// takes the place of the pool of the service's previous destination.
func (s *Service) buildPool(d *route.Destination) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools.Load(d); ok {
		return p.(*pool)
	}
	previous := s.current[d.Service.Name]
	if previous != nil && previous.Generation > d.Generation {
		return s.newPool(d, poolOfOldTable)
	}
	kind := poolOfChangedService
	if previous == nil {
		kind = poolOfNewService
	}
	p := s.newPool(d, kind)
	s.current[d.Service.Name] = d
	s.pools.Store(d, p)
	if previous != nil {
		s.pools.Delete(previous)
		s.forget(previous, d)
	}
	return p
}

// forget drops the statistics of endpoints that next no longer has.
func (s *Service) forget(previous, next *route.Destination) {
	for _, e := range previous.Endpoints {
		if !contains(next.Endpoints, e) {
			s.servers.Delete(e)
		}
	}
}

// learningPeriod is the time after the start of the node in which the members
// become known; those that appear in it are not new.
const learningPeriod = 5 * time.Second

// poolKind tells why a pool is built.
type poolKind uint8

const (
	// poolOfNewService is the first pool of a service; its servers are taken as
	// warm.
	poolOfNewService poolKind = iota
	// poolOfChangedService follows a change of members; servers that are new
	// begin with slow start.
	poolOfChangedService
	// poolOfOldTable serves one request that started with an older table; new
	// statistics are not kept.
	poolOfOldTable
)

// newPool ranks the servers of a destination.
func (s *Service) newPool(d *route.Destination, kind poolKind) *pool {
	p := &pool{service: d.Service, servers: make([]*server, 0, len(d.Endpoints))}
	known := make([]balance.Server, len(d.Endpoints))
	for i, e := range d.Endpoints {
		known[i] = balance.Server{Instance: e.ID.Instance, Local: e.Domain == s.config.Self.Domain}
	}
	for _, i := range balance.Rank(s.config.Self.ID, known) {
		p.servers = append(p.servers, s.server(d, d.Endpoints[i], known[i].Local, kind))
	}
	return p
}

// server returns the statistics of an endpoint, new ones if there are none.
func (s *Service) server(d *route.Destination, e *route.Endpoint, local bool, kind poolKind) *server {
	if known, ok := s.servers.Load(e); ok {
		return known.(*server)
	}
	fresh := &server{endpoint: e, local: local}
	fresh.warmSince.Store(int64(-d.Service.SlowStart))
	if kind == poolOfChangedService && s.now() > learningPeriod {
		fresh.warmSince.Store(int64(s.now()))
	}
	if kind != poolOfOldTable {
		s.servers.Store(e, fresh)
	}
	return fresh
}

func contains(endpoints []*route.Endpoint, e *route.Endpoint) bool {
	for _, other := range endpoints {
		if other == e {
			return true
		}
	}
	return false
}

// Status returns the statistics of every known server for a status page.
func (s *Service) Status() []ServerStatus {
	var list []ServerStatus
	now := s.now()
	s.servers.Range(func(_, value any) bool {
		list = append(list, value.(*server).status(now))
		return true
	})
	sortStatus(list)
	return list
}
