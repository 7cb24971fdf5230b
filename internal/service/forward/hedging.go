package forward

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/hedge"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/decision/throttle"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// defaultHedgeWindow is the window of the limit on hedges if the mesh declares none for
// its limits on retries.
const defaultHedgeWindow = 10 * time.Second

// suspects is the part of the quarantine service that forward uses.
type suspects interface {
	Suspects() *kernel.Snapshot[quarantine.Table]
}

// hedging holds the state of the hedges that Config.HedgePercent allows. It is safe for
// concurrent use. A nil hedging records nothing and hedges nothing.
type hedging struct {
	percent  int
	window   time.Duration
	caller   model.ServiceName // as in quarantine.Attributes
	scope    tally.Scope
	suspects *kernel.Snapshot[quarantine.Table] // nil if the node has none
	services sync.Map                           // model.ServiceName -> *serviceHedging
	routes   sync.Map                           // routeKey -> *routeHedging
}

// serviceHedging is the state of one service.
type serviceHedging struct {
	name model.ServiceName

	mu       sync.Mutex
	limit    *hedge.Limit
	pressure hedge.Pressure
	started  uint64
	won      uint64
	skipped  map[hedge.Reason]uint64
}

// routeHedging is the state of one route.
type routeHedging struct {
	key routeKey

	mu        sync.Mutex
	latencies *hedge.Latencies
	gain      hedge.Gain
}

func newHedging(config Config, c *kernel.Context) *hedging {
	start := c.Clock.Now()
	h := &hedging{percent: config.HedgePercent, window: config.Limits.Window, scope: tally.NoopScope}
	if config.Headers.StatesOrigin() {
		h.caller = config.Origin
	}
	if h.window <= 0 {
		h.window = defaultHedgeWindow
	}
	if metrics, err := kernel.Find[scopeSource](c, control.Metrics); err == nil {
		h.scope = metrics.Scope()
	}
	if found, err := kernel.Find[suspects](c, control.Quarantine); err == nil {
		h.suspects = found.Suspects()
	}
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(hedgesSection, func() any { return h.status(c.Clock.Now().Sub(start)) })
	}
	return h
}

// requestHedging is the state that concerns one request. route is nil if its route is not
// hedged by latency.
type requestHedging struct {
	hedging *hedging
	service *serviceHedging
	route   *routeHedging
}

// hedgedByLatency reports whether requests of a route may be hedged after a quantile of
// their latency. A delay of the route's own takes precedence.
func hedgedByLatency(r *model.Route) bool {
	return r.Idempotent && r.Objective > 0 && r.Hedge.After == 0
}

// begin counts a request. It returns nil if hedging is off.
func (h *hedging) begin(q *call.Request, now time.Duration) *requestHedging {
	if h == nil {
		return nil
	}
	r := &requestHedging{hedging: h, service: h.forService(q.Destination.Service.Name)}
	if hedgedByLatency(q.Route) {
		r.route = h.forRoute(routeKey{team: q.Route.Team, name: q.Route.Name})
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.limit.Request(now)
	return r
}

func (h *hedging) forService(name model.ServiceName) *serviceHedging {
	found, ok := h.services.Load(name)
	if !ok {
		found, _ = h.services.LoadOrStore(name, &serviceHedging{
			name: name, limit: hedge.NewLimit(h.percent, h.window), skipped: make(map[hedge.Reason]uint64),
		})
	}
	return found.(*serviceHedging)
}

func (h *hedging) forRoute(key routeKey) *routeHedging {
	found, ok := h.routes.Load(key)
	if !ok {
		found, _ = h.routes.LoadOrStore(key, &routeHedging{key: key, latencies: hedge.NewLatencies()})
	}
	return found.(*routeHedging)
}

// delay returns when the request is to be hedged, given the time until its latency objective.
// It returns false if it is not, because too little is known, hedging does not pay or slots
// are short.
func (r *requestHedging) delay(objectiveLeft, now time.Duration) (hedge.Delay, bool) {
	if r == nil || r.route == nil {
		return hedge.Delay{}, false
	}
	r.service.mu.Lock()
	short, scarce := r.service.pressure.Short(), r.service.limit.Scarce()
	r.service.mu.Unlock()
	if short {
		return hedge.Delay{}, false
	}
	r.route.mu.Lock()
	defer r.route.mu.Unlock()
	delay, ok := r.route.latencies.Delay(now)
	delay.After = delay.Before(objectiveLeft, scarce)
	return delay, ok
}

func (r *requestHedging) slotsShort() bool {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return r.service.pressure.Short()
}

// observe records the result of an attempt.
func (r *requestHedging) observe(a attempt, sent result, begin, now time.Duration) {
	if sent.report.Reported {
		r.service.observe(a, sent, now)
	}
	if r.route == nil || a.number != 1 {
		return
	}
	r.route.mu.Lock()
	defer r.route.mu.Unlock()
	switch {
	case sent.Outcome == model.OutcomeAnswered:
		r.route.latencies.Answered(now-begin, now)
	case sent.Reason == model.ReasonCancelled, sent.Reason == model.ReasonDeadline:
		r.route.latencies.Abandoned(now-begin, now)
	}
}

// observe records what a gate reported about its slots.
func (s *serviceHedging) observe(a attempt, sent result, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch throttleOutcome(sent) {
	case throttle.Refused:
		s.pressure.Refusal()
	case throttle.Accepted:
		slots := a.endpoint.Slots
		if slots == 0 {
			slots = a.request.Destination.Service.Slots
		}
		load := sent.report.Load
		// The request itself holds a slot when the head of its response is sent.
		s.pressure.Load(max(load.InFlight+load.Queued-1, 0), slots, now)
	}
}

// refuses returns why the route must not be hedged now, for a reason that its earlier hedges
// or the request give.
func (r *requestHedging) refuses(a hedge.Attempt, now time.Duration) hedge.Reason {
	a.SlotsShort = r.slotsShort()
	if reason := hedge.Decide(a); reason != "" {
		return reason
	}
	r.route.mu.Lock()
	defer r.route.mu.Unlock()
	if !r.route.gain.Allows(now) {
		return hedge.NoGain
	}
	return ""
}

// withdraw takes what a hedge uses of the limits. token takes a token of the limits over all
// nodes; it is called only if the share of the service allows the hedge.
func (r *requestHedging) withdraw(now time.Duration, token func() bool) hedge.Reason {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	switch {
	case !r.service.limit.Available(now):
		return hedge.OverLimit
	case !token():
		return hedge.NoToken
	}
	r.service.limit.Withdraw(now)
	r.service.started++
	r.hedging.count(r.service.name, "forward_hedges", "")
	return ""
}

// started records that a hedge is sent.
func (r *requestHedging) started(now time.Duration) {
	r.route.mu.Lock()
	defer r.route.mu.Unlock()
	r.route.gain.Started(now)
}

// skip counts a request that was due for a hedge and got none.
func (r *requestHedging) skip(reason hedge.Reason) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.skipped[reason]++
	r.hedging.count(r.service.name, "forward_hedges_skipped", reason)
}

// ended records whether the hedge or the first attempt responded first.
func (r *requestHedging) ended(won bool) {
	r.route.mu.Lock()
	r.route.gain.Ended(won)
	r.route.mu.Unlock()
	if !won {
		return
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.won++
	r.hedging.count(r.service.name, "forward_hedges_won", "")
}

func (h *hedging) count(service model.ServiceName, name string, reason hedge.Reason) {
	tags := map[string]string{"service": string(service)}
	if reason != "" {
		tags["reason"] = string(reason)
	}
	h.scope.Tagged(tags).Counter(name).Inc(1)
}

// suspect reports whether a request equals one that is suspected to crash servers. A node
// knows the suspects of the service of its own server.
func (h *hedging) suspect(q *call.Request) bool {
	if h.suspects == nil {
		return false
	}
	table := h.suspects.Load()
	return table.Len() > 0 && table.IsSuspect(quarantine.Attributes{
		Caller: h.caller, Method: q.Method, Path: q.URL.EscapedPath(), Query: q.URL.RawQuery,
		BodyLength: q.Body.Length(), BodyDigest: q.Body.Digest(), IdempotencyKey: q.IdempotencyKey,
	}.Fingerprint())
}
