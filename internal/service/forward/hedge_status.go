package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/hedge"
	"github.com/galenalever/galenalever/internal/model"
)

// hedgesSection is the section of the status page with hedges by latency.
const hedgesSection = "hedges"

// HedgeStatus is the state of hedging by latency on the status page.
type HedgeStatus struct {
	// Percent is the largest number of hedges for 100 requests of a service.
	Percent  int                  `json:"percent"`
	Services []ServiceHedgeStatus `json:"services"`
	Routes   []RouteHedgeStatus   `json:"routes"`
}

// ServiceHedgeStatus describes the hedges of one service.
type ServiceHedgeStatus struct {
	Service model.ServiceName `json:"service"`
	// Requests and Hedges are those of the window of the limit.
	Requests int `json:"requests"`
	Hedges   int `json:"hedges"`
	// SlotsShort is true while nothing is hedged because slots are short; OccupiedPercent
	// is the mean share of occupied slots that gates reported.
	SlotsShort      bool `json:"slots_short"`
	OccupiedPercent int  `json:"occupied_percent"`
	// Started, Won and Skipped count the hedges since the start of the process, those that
	// responded first, and the requests that were due for a hedge but got none, by reason.
	Started uint64                  `json:"started"`
	Won     uint64                  `json:"won"`
	Skipped map[hedge.Reason]uint64 `json:"skipped"`
}

// RouteHedgeStatus describes the hedges of one route.
type RouteHedgeStatus struct {
	Team  model.TeamName `json:"team"`
	Route string         `json:"route"`
	// Hedged is false while too little is known, or while hedging would not pay.
	Hedged bool `json:"hedged"`
	// DelayMilliseconds is the delay; 0 if Hedged is false.
	DelayMilliseconds int64 `json:"delay_ms"`
	// WonPercent is the share of recent hedges that responded first.
	WonPercent int `json:"won_percent"`
}

const hundred = 100

// status returns the state at a time since the start of the service.
func (h *hedging) status(now time.Duration) HedgeStatus {
	out := HedgeStatus{Percent: h.percent, Services: []ServiceHedgeStatus{}, Routes: []RouteHedgeStatus{}}
	h.services.Range(func(_, value any) bool {
		out.Services = append(out.Services, value.(*serviceHedging).status(now))
		return true
	})
	h.routes.Range(func(_, value any) bool {
		out.Routes = append(out.Routes, value.(*routeHedging).status(now))
		return true
	})
	slices.SortFunc(out.Services, func(a, b ServiceHedgeStatus) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(out.Routes, func(a, b RouteHedgeStatus) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
	return out
}

func (s *serviceHedging) status(now time.Duration) ServiceHedgeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, hedges := s.limit.Hedges(now)
	return ServiceHedgeStatus{
		Service: s.name, Requests: requests, Hedges: hedges,
		SlotsShort: s.pressure.Short(), OccupiedPercent: int(s.pressure.Occupied() * hundred),
		Started: s.started, Won: s.won, Skipped: maps.Clone(s.skipped),
	}
}

func (r *routeHedging) status(now time.Duration) RouteHedgeStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := RouteHedgeStatus{Team: r.key.team, Route: r.key.name, WonPercent: int(r.gain.Won() * hundred)}
	if delay, ok := r.latencies.Delay(now); ok {
		out.Hedged, out.DelayMilliseconds = true, delay.After.Milliseconds()
	}
	return out
}
