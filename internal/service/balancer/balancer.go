// Package balancer provides the service that chooses a server for each attempt and
// keeps the statistics of the attempts at each endpoint. Traffic goroutines read and
// write the statistics without locks.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/decision/warmup"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// recorder is the part of the timeline service that this service uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config configures the service.
type Config struct {
	Self model.Self
	// Random supplies random numbers to concurrent callers; nil means the
	// process-wide generator.
	Random balance.Source
	// Policy is PolicyAdaptive except in experiments with a baseline; empty means
	// PolicyAdaptive.
	Policy balance.Policy
	// Warmup states what the mesh tolerates at cold servers.
	Warmup warmup.Bounds
}

// Service chooses servers. Its methods are safe for concurrent use.
type Service struct {
	config Config
	clock  clock.Clock
	start  time.Time
	events recorder

	kinds   kinds
	pools   sync.Map // *route.Destination -> *pool
	servers sync.Map // *route.Endpoint -> *server
	// coldnesses holds the warm-ups of instances: model.InstanceID -> *coldness.
	coldnesses sync.Map

	mu sync.Mutex // held while a pool is built; guards current
	// current holds the newest destination of each service that has a pool.
	current map[model.ServiceName]*route.Destination
}

// New returns the service.
func New(config Config) *Service {
	if config.Random == nil {
		config.Random = globalRandom{}
	}
	return &Service{config: config, current: make(map[model.ServiceName]*route.Destination)}
}

// globalRandom draws from the process-wide generator.
type globalRandom struct{}

func (globalRandom) Uint64() uint64 { return rand.Uint64() }

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
	kernel.Subscribe(c.Loop, s.handleMembersChanged)
	return nil
}

// now returns the time since the start of the service.
func (s *Service) now() time.Duration { return s.clock.Now().Sub(s.start) }

// Pick chooses a server of the destination that is not among tried and counts
// the attempt as outstanding. It returns nil if there is none. Each server that it
// returns must be followed by one Done. The objective is the latency objective of the
// request, or 0 without one; kind is that of its reports. The returned duration is balance.MaxQueueWait for the
// chosen server.
func (s *Service) Pick(
	d *route.Destination, class model.Class, kind string, objective time.Duration, tried []*route.Endpoint,
) (*route.Endpoint, time.Duration) {
	p := s.pool(d)
	now := s.now()
	view := poolView{pool: p, class: classIndex(class), scale: s.kinds.scale(d.Service.Name, kind), tried: tried, now: now}
	crossDomainPenalty := balance.CrossDomainPenalty(objective)
	chosen := balance.ChooseBy(s.config.Policy, &view, crossDomainPenalty, now, s.config.Random)
	if chosen == balance.None {
		return nil, 0
	}
	maxQueueWait := balance.MaxQueueWait(&view, chosen, crossDomainPenalty, s.kinds.hop(d.Service.Name), now)
	picked := p.servers[chosen]
	picked.classes[view.class].begin(now)
	return picked.endpoint, maxQueueWait
}

// ChooseSecond chooses a server for a second attempt beside the one at first, or nil. Unlike
// Pick, it does not count the attempt; Begin does.
func (s *Service) ChooseSecond(
	d *route.Destination, class model.Class, kind string, first *route.Endpoint, tried []*route.Endpoint, q balance.Second,
) *route.Endpoint {
	p, now := s.pool(d), s.now()
	view := secondView{
		poolView: poolView{pool: p, class: classIndex(class), scale: s.kinds.scale(d.Service.Name, kind), tried: tried, now: now},
		first:    first,
	}
	chosen := balance.ChooseSecond(&view, q, now, s.config.Random)
	if chosen == balance.None {
		return nil
	}
	return p.servers[chosen].endpoint
}

// PickOwner chooses the server that stores the record of an idempotency key and
// counts the attempt as Pick does. While the owner is ejected, the next server in
// the key's order is chosen; if all are ejected, ejections are ignored. It returns
// nil if all servers have been tried.
func (s *Service) PickOwner(
	d *route.Destination, class model.Class, key string, tried []*route.Endpoint,
) *route.Endpoint {
	s.pool(d) // creates the statistics of new endpoints
	owner := s.owner(d, key, tried, s.now())
	if owner != nil {
		s.Begin(owner, class)
	}
	return owner
}

func (s *Service) owner(d *route.Destination, key string, tried []*route.Endpoint, now time.Duration) *route.Endpoint {
	owner := ownerOf(d, key, func(e *route.Endpoint) bool { return contains(tried, e) || s.ejected(e, now) })
	if owner == nil {
		owner = ownerOf(d, key, func(e *route.Endpoint) bool { return contains(tried, e) })
	}
	return owner
}

// ownerOf returns the owner of the key among the endpoints that are not excluded,
// or nil.
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

// Begin counts one more attempt at a picked endpoint as outstanding. It must be
// followed by one Done. An endpoint that has been removed meanwhile is ignored.
func (s *Service) Begin(e *route.Endpoint, class model.Class) {
	if known, ok := s.servers.Load(e); ok {
		known.(*server).classes[classIndex(class)].begin(s.now())
	}
}

// Done ends an attempt at a picked endpoint and updates the statistics with its
// outcome. An endpoint that has been removed meanwhile is ignored.
func (s *Service) Done(e *route.Endpoint, class model.Class, r balance.Report) {
	known, ok := s.servers.Load(e)
	if !ok {
		return
	}
	known.(*server).done(s, classIndex(class), r)
}

// Status returns the statistics of all known servers, ordered by instance, for the
// status page.
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
