package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/decision/warmup"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// Indices of server.classes: short and long requests have separate statistics.
const (
	shortIndex = iota
	longIndex
	classCount
)

func classIndex(class model.Class) int {
	if class == model.ClassLong {
		return longIndex
	}
	return shortIndex
}

// server holds the statistics of one endpoint. All fields that change are atomic;
// times are nanoseconds since the start of the service.
type server struct {
	endpoint *route.Endpoint
	service  model.ServiceName
	local    bool // in this node's failure domain
	// slowStartSince is when slow start begins; it is in the future while the server
	// is ejected.
	slowStartSince atomic.Int64
	load           atomic.Pointer[balance.Load] // nil before the first report
	loadAt         atomic.Int64
	health         atomic.Pointer[balance.Health] // nil means healthy
	// lastFailure is the reason of the last failure, or of the report that the server has
	// left. It is not a part of balance.Health, which each choice copies.
	lastFailure atomic.Pointer[model.Reason]
	classes     [classCount]classStatistics
	coldness    *coldness
}

// classStatistics holds the statistics of one class of requests at a server.
type classStatistics struct {
	outstanding atomic.Int64
	// latency is the smoothed latency in nanoseconds, divided by the scale of each kind;
	// 0 before the first sample. latencyAt is the time of the last sample.
	latency   atomic.Int64
	latencyAt atomic.Int64
	// progressAt is when the last attempt ended, or when an attempt began while no
	// other was outstanding, whichever is later.
	progressAt atomic.Int64
	// responseAt is the time of the last response.
	responseAt atomic.Int64
}

// begin counts one more outstanding attempt.
func (c *classStatistics) begin(now time.Duration) {
	if c.outstanding.Add(1) == 1 {
		c.progressAt.Store(int64(now))
	}
}

// end counts one outstanding attempt less.
func (c *classStatistics) end(now time.Duration) {
	c.progressAt.Store(int64(now))
	c.outstanding.Add(-1)
}

// silence returns for how long attempts have been outstanding without any of them
// ending; 0 if none is outstanding.
func (c *classStatistics) silence(now time.Duration) time.Duration {
	if c.outstanding.Load() == 0 {
		return 0
	}
	return now - time.Duration(c.progressAt.Load())
}

// pool holds the servers of a destination in this node's order of preference.
type pool struct {
	service *model.Service
	warmup  warmup.Limits
	servers []*server
}

// poolView implements balance.Pool for one attempt: the statistics of the attempt's
// class, without the servers that were tried.
type poolView struct {
	pool  *pool
	class int
	scale float64 // of the kind, see kinds
	tried []*route.Endpoint
	now   time.Duration
}

// Len implements balance.Pool.
func (v *poolView) Len() int { return len(v.pool.servers) }

// At implements balance.Pool.
func (v *poolView) At(position int) balance.Statistics {
	s := v.pool.servers[position]
	class := &s.classes[v.class]
	return balance.Statistics{
		Local:          s.local,
		Excluded:       contains(v.tried, s.endpoint),
		Slots:          v.pool.service.Slots,
		Queue:          v.pool.service.Queue,
		Outstanding:    int(class.outstanding.Load()),
		Silence:        class.silence(v.now),
		Load:           s.currentLoad(),
		LoadAt:         time.Duration(s.loadAt.Load()),
		Latency:        time.Duration(float64(class.latency.Load()) * v.scale),
		LatencyAt:      time.Duration(class.latencyAt.Load()),
		Health:         s.currentHealth(),
		SlowStartSince: time.Duration(s.slowStartSince.Load()),
		SlowStart:      v.pool.slowStart(),

		ColdRatePerSlot: v.pool.coldRatePerSlot(s, v.now),
	}
}

func (s *server) currentLoad() balance.Load {
	if l := s.load.Load(); l != nil {
		return *l
	}
	return balance.Load{}
}

func (s *server) currentHealth() balance.Health {
	if h := s.health.Load(); h != nil {
		return *h
	}
	return balance.Health{}
}

// done ends an attempt and updates the statistics with its outcome.
func (s *server) done(service *Service, class int, r balance.Report) {
	now := service.now()
	statistics := &s.classes[class]
	// An attempt without a response began r.Latency ago.
	r.Silent = now-time.Duration(statistics.responseAt.Load()) >= r.Latency
	statistics.end(now)
	if r.Outcome == model.OutcomeAnswered || r.Reported {
		statistics.responseAt.Store(int64(now))
	}
	if r.Reported && s.shouldUpdateLoad(service.config.Policy, now) {
		s.load.Store(&r.Load)
		s.loadAt.Store(int64(now))
	}
	service.kinds.observeHop(s.service, r.Hop)
	r.Latency = time.Duration(float64(r.Latency) / service.kinds.observe(s.service, r))
	statistics.observe(r, now)
	s.updateHealth(service, r, now)
}

// shouldUpdateLoad reports whether a newly reported load replaces the stored one.
// It always does, except with the baseline PolicyReported, whose reports lag by up
// to balance.ReportedLoadInterval.
func (s *server) shouldUpdateLoad(policy balance.Policy, now time.Duration) bool {
	last := time.Duration(s.loadAt.Load())
	return policy != balance.PolicyReported || last == 0 || now-last >= balance.ReportedLoadInterval
}

// observe adds a latency sample. The time spent on an attempt without a response is
// only a lower bound of the latency, so it counts only if it raises the smoothed
// value. An attempt that the server did not run, or with latency 0, is no sample.
func (c *classStatistics) observe(r balance.Report, now time.Duration) {
	answered := r.Reported && r.Outcome == model.OutcomeAnswered
	for {
		old := c.latency.Load()
		age := now - time.Duration(c.latencyAt.Load())
		next := int64(balance.Smooth(time.Duration(old), age, r.Latency))
		if r.Latency <= 0 || !answered && next <= old || r.Outcome == model.OutcomeNotRun {
			return
		}
		if c.latency.CompareAndSwap(old, next) {
			c.latencyAt.Store(int64(now))
			return
		}
	}
}

// updateHealth stores the health record that follows from the report if it differs
// from the current one.
func (s *server) updateHealth(service *Service, r balance.Report, now time.Duration) {
	for {
		stored := s.health.Load()
		var old balance.Health
		if stored != nil {
			old = *stored
		}
		next := old.Next(r, now, service.config.Random)
		if next == old {
			return
		}
		changed := next
		if s.health.CompareAndSwap(stored, &changed) {
			s.applyHealthChange(service, old, next, r, now)
			return
		}
	}
}

// applyHealthChange records an ejection or a restoration as an event. A server
// begins with slow start again after an ejection, unless its failure domain is evacuated:
// that shows nothing about the server.
func (s *server) applyHealthChange(service *Service, old, next balance.Health, r balance.Report, now time.Duration) {
	if next.Failures > old.Failures || next.EjectedUntil > old.EjectedUntil {
		reason := r.Reason
		s.lastFailure.Store(&reason)
	}
	switch {
	case next.EjectedUntil > old.EjectedUntil:
		if r.Reason != model.ReasonEvacuated {
			s.slowStartSince.Store(int64(next.EjectedUntil))
		}
		service.events.Record(timeline.KindServerEjected, fmt.Sprintf("instance %s for %s: %s",
			s.endpoint.ID.Instance, (next.EjectedUntil-now).Round(time.Millisecond), r.Reason))
	case old.Ejections > 0 && next.Ejections == 0:
		service.events.Record(timeline.KindServerRestored, "instance "+string(s.endpoint.ID.Instance))
	}
}

// ServerStatus describes one server on the status page. Outstanding counts the
// attempts of all classes; Latency is the smoothed latency of short requests; Failures
// counts consecutive failures.
type ServerStatus struct {
	Instance    model.InstanceID `json:"instance"`
	Outstanding int              `json:"outstanding"`
	Load        balance.Load     `json:"load"`
	Latency     time.Duration    `json:"latency_ns"`
	Failures    int              `json:"failures"`
	Ejected     bool             `json:"ejected"`
	// ColdFor is how long the listing states that the server stays cold; 0 if it is warm.
	ColdFor time.Duration `json:"cold_for_ns,omitempty"`
}

func (s *server) status(now time.Duration) ServerStatus {
	h := s.currentHealth()
	short, long := &s.classes[shortIndex], &s.classes[longIndex]
	return ServerStatus{
		Instance:    s.endpoint.ID.Instance,
		Outstanding: int(short.outstanding.Load() + long.outstanding.Load()),
		Load:        s.currentLoad(),
		Latency:     time.Duration(short.latency.Load()),
		Failures:    h.Failures,
		Ejected:     h.Ejected(now),
		ColdFor:     s.coldness.leftAt(now),
	}
}

func sortStatus(list []ServerStatus) {
	slices.SortFunc(list, func(a, b ServerStatus) int { return cmp.Compare(a.Instance, b.Instance) })
}
