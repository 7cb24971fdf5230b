package forward

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/hedge"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// The services that only Explain uses.
type (
	selectionExplainer interface {
		Explain(d *route.Destination, class model.Class, kind string, objective time.Duration, key string) status.Selection
	}
	gateForecaster interface {
		// Forecast reports false if the address is not that of the node's own gate.
		Forecast(address string, request hop.Request, r *http.Request) (status.WhereForecast, bool)
	}
	memberSource interface {
		ServiceMembers(name model.ServiceName) []model.Member
	}
)

// explainers are the services that only Explain uses; each is nil if the node has none.
type explainers struct {
	selection selectionExplainer
	gate      gateForecaster
	members   memberSource
}

func findExplainers(c *kernel.Context) explainers {
	var e explainers
	e.selection, _ = kernel.Find[selectionExplainer](c, control.Balancer)
	e.gate, _ = kernel.Find[gateForecaster](c, control.Gate)
	e.members, _ = kernel.Find[memberSource](c, control.Membership)
	return e
}

// Explain describes what Forward would do with the request now. It draws no random number
// of the service, sends nothing and changes nothing.
func (s *Service) Explain(q *call.Request) status.WherePart {
	part := status.WherePart{
		Service: q.Destination.Service.Name, Throttled: s.throttledShare(q), Hedge: s.hedgeForecast(q),
	}
	if s.explainers.selection == nil {
		return part
	}
	key := ""
	if q.RoutedByKey() {
		key = q.IdempotencyKey
	}
	part.Selection = s.explainers.selection.Explain(q.Destination, q.Route.Class, q.Route.Name, q.Route.Objective, key)
	part.Excluded = s.withAbsent(q.Destination, part.Excluded)
	if s.explainers.gate == nil {
		return part
	}
	for i := range part.Candidates {
		s.addForecast(q, &part.Candidates[i])
	}
	return part
}

// addForecast adds the forecast of the gate if it is the one of this node.
func (s *Service) addForecast(q *call.Request, c *status.WhereCandidate) {
	i := slices.IndexFunc(q.Destination.Endpoints, func(e *route.Endpoint) bool { return e.ID.Instance == c.Instance })
	if i < 0 {
		return
	}
	a := attempt{request: q, endpoint: q.Destination.Endpoints[i], number: 1, maxQueueWait: c.MaxQueueWait}
	r := &http.Request{Method: q.Method, URL: q.URL, Host: q.Host, Header: endToEndHeaders(q.Header, 0), ContentLength: q.Body.Length()}
	if forecast, ok := s.explainers.gate.Forecast(c.Address, s.hopRequest(a), r); ok {
		c.Gate = &forecast
	}
}

// reasonEvacuated is the reason of servers in evacuated failure domains.
const reasonEvacuated = "evacuated"

// withAbsent adds the servers of the service that are not among the endpoints of the
// destination. The list is ordered by instance.
func (s *Service) withAbsent(d *route.Destination, excluded []status.WhereExcluded) []status.WhereExcluded {
	for _, e := range d.Evacuated {
		excluded = append(excluded, status.WhereExcluded{Instance: e.ID.Instance, Domain: e.Domain, Reason: reasonEvacuated})
	}
	if s.explainers.members != nil {
		known := s.explainers.members.ServiceMembers(d.Service.Name)
		absent := route.Absent(known)
		for _, m := range known {
			if reason, ok := absent[m.ID]; ok {
				excluded = append(excluded, status.WhereExcluded{Instance: m.ID, Domain: m.Domain, Reason: string(reason)})
			}
		}
	}
	slices.SortStableFunc(excluded, func(a, b status.WhereExcluded) int { return cmp.Compare(a.Instance, b.Instance) })
	return excluded
}

// throttledShare returns the share of the requests like q that admit refuses now.
func (s *Service) throttledShare(q *call.Request) float64 {
	found, ok := s.throttles.byService.Load(q.Destination.Service.Name)
	if !ok || !s.throttlesRequest(q) {
		return 0
	}
	service := found.(*serviceThrottle)
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.decision.Share(s.throttleLevel(q), s.sinceStart())
}

// hedgeForecast states whether the first attempt would be hedged, if the hedge budget of
// the route, or the limits on hedges, leave one when the delay is over.
func (s *Service) hedgeForecast(q *call.Request) status.WhereHedge {
	switch {
	case !q.Route.Idempotent:
		return status.WhereHedge{Reason: "not idempotent"}
	case q.Body.Streamed():
		return status.WhereHedge{Reason: "body too large"}
	case len(q.Destination.Endpoints) < 2:
		return status.WhereHedge{Reason: "no other server"}
	case q.Route.Hedge.After > 0:
		return status.WhereHedge{Hedged: true, After: q.Route.Hedge.After}
	case s.hedging == nil || !hedgedByLatency(q.Route):
		return status.WhereHedge{Reason: "not declared"}
	}
	return s.hedging.forecast(q, q.SoftDeadline.Sub(s.clock.Now()))
}

// forecast states whether a request would be hedged by latency. It changes nothing.
func (h *hedging) forecast(q *call.Request, objectiveLeft time.Duration) status.WhereHedge {
	service, ok := h.services.Load(q.Destination.Service.Name)
	if !ok {
		return status.WhereHedge{Reason: "no samples"}
	}
	r, ok := h.routes.Load(routeKey{team: q.Route.Team, name: q.Route.Name})
	if !ok {
		return status.WhereHedge{Reason: "no samples"}
	}
	of := service.(*serviceHedging)
	of.mu.Lock()
	short, scarce := of.pressure.Short(), of.limit.Scarce()
	of.mu.Unlock()
	if short {
		return status.WhereHedge{Reason: string(hedge.SlotsShort)}
	}
	route := r.(*routeHedging)
	route.mu.Lock()
	delay, worth := route.latencies.Last()
	route.mu.Unlock()
	if !worth {
		return status.WhereHedge{Reason: "few samples, or a hedge would hardly be faster"}
	}
	return status.WhereHedge{Hedged: true, After: delay.Before(objectiveLeft, scarce)}
}
