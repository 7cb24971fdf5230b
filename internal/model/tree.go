package model

import "time"

// Tree is the composed settings tree that a node runs: the accepted subtrees of
// all teams. It declares every service that its routes name.
type Tree struct {
	// Services holds the declared services by name.
	Services map[ServiceName]*Service
	// Routes holds the routes of all teams, ordered by team and route name.
	Routes []*Route
	// Evacuated holds the failure domains whose servers must get no requests.
	Evacuated map[FailureDomain]*Evacuation
}

// Service is one service as its team declares it.
type Service struct {
	Name ServiceName `json:"name"`
	// Slots is the number of requests that one backend server runs at a time.
	Slots int `json:"slots"`
	// LongSlots is the largest number of slots that requests of ClassLong may
	// hold; it is less than Slots, so that one is left for short requests.
	LongSlots int `json:"long_slots"`
	// Queue bounds the requests that wait at one server for a slot.
	Queue int `json:"queue"`
	// SlowStart is the time in which a new server's share ramps up to the full one.
	SlowStart time.Duration `json:"slow_start_ns"`
	// WarmupRate is the number of requests per second that a cold server tolerates; 0
	// means that servers need no warm-up. Warmup is the time after its start in which a
	// server is cold.
	WarmupRate float64       `json:"warmup_rate,omitempty"`
	Warmup     time.Duration `json:"warmup_ns,omitempty"`
	// DrainTimeout bounds how long a leaving server finishes running requests.
	DrainTimeout time.Duration `json:"drain_timeout_ns"`
	// HealthPath is the path of the servers' health check; empty means the path
	// in the node's own settings.
	HealthPath string `json:"health_path,omitempty"`
}

// Class separates requests by their expected run time.
type Class string

const (
	// ClassShort is for requests of milliseconds, such as availability checks.
	ClassShort Class = "short"
	// ClassLong is for requests that run many times longer, such as uploads.
	ClassLong Class = "long"
)

// Route sends matching requests to a service.
type Route struct {
	Team TeamName `json:"team"`
	// Name is unique within the team.
	Name string `json:"name"`
	// Hosts are matched exactly, without the port. Empty means all hosts of the
	// team's grant in a team's document, and any host in a Tree.
	Hosts []string `json:"hosts,omitempty"`
	// PathPrefix begins the paths that the route matches; the longest match wins. It
	// begins and ends with a slash, see [CheckPathPrefix].
	PathPrefix string `json:"path_prefix"`
	// Methods are HTTP methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Service is the destination. It is empty if Split is set.
	Service ServiceName `json:"service,omitempty"`
	// Split distributes the requests over several services by weight.
	Split []WeightedService `json:"split,omitempty"`
	// Idempotent states that running a request twice does no harm.
	Idempotent bool `json:"idempotent"`
	// Class selects the slots that the requests may hold.
	Class Class `json:"class"`
	// Deadline bounds a request from its arrival to the end of its response.
	Deadline time.Duration `json:"deadline_ns"`
	// Objective is the latency objective, within which a response is of full use to
	// the caller; 0 means that none is set.
	Objective time.Duration `json:"objective_ns,omitempty"`
	// Priority ranks the requests at a server that is short of slots; 0 is the
	// most urgent.
	Priority int `json:"priority,omitempty"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `json:"max_body"`
	// MaxHeader is the largest header of a request in bytes. HeaderTimeout bounds the
	// time in which a header arrives, IdleTimeout that between two requests on a
	// connection; the longest of all routes apply. 0 means no limit but that of the node.
	MaxHeader     int64         `json:"max_header,omitempty"`
	HeaderTimeout time.Duration `json:"header_timeout_ns,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns,omitempty"`
	Retry         Retry         `json:"retry"`
	Hedge         Hedge         `json:"hedge"`
}

// WeightedService is one of several destinations of a route.
type WeightedService struct {
	Service ServiceName `json:"service"`
	// Weight is the share of the requests relative to the other weights.
	Weight int `json:"weight"`
}

// Destinations returns the services that the route may send requests to.
func (r *Route) Destinations() []ServiceName {
	if len(r.Split) == 0 {
		return []ServiceName{r.Service}
	}
	names := make([]ServiceName, len(r.Split))
	for i, part := range r.Split {
		names[i] = part.Service
	}
	return names
}

// Retry bounds the attempts of a request.
type Retry struct {
	// Attempts is the largest number of attempts, the first included.
	Attempts int `json:"attempts"`
	// BudgetPercent bounds retries as a share of recent requests of the route.
	BudgetPercent int `json:"budget_percent"`
	// Refusals is the number of attempts beyond Attempts that are made while gates
	// refuse the request and fewer than Attempts servers have seen it.
	Refusals int `json:"refusals,omitempty"`
}

// Hedge sends an idempotent request to a second server when the first is slow.
type Hedge struct {
	// After is the delay before the second attempt; 0 disables hedging.
	After time.Duration `json:"after_ns"`
	// BudgetPercent bounds hedges as a share of recent requests of the route.
	BudgetPercent int `json:"budget_percent"`
}

// Grant lists the hosts and paths that the root document allows a team to route.
type Grant struct {
	Team TeamName `json:"team"`
	// Hosts that the team's routes may match.
	Hosts []string `json:"hosts,omitempty"`
	// PathPrefixes begin the prefixes that the team's routes may have.
	PathPrefixes []string `json:"path_prefixes,omitempty"`
}
