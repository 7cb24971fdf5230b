package model

import "time"

// Tree is the composed settings tree that a node runs: the accepted subtrees of
// all teams. It is closed: every route's service is declared in it.
type Tree struct {
	// Services holds the declared services by name.
	Services map[ServiceName]*Service
	// Routes holds the routes of all teams, ordered by team and route name.
	Routes []*Route
}

// Service is one service as its team declares it.
type Service struct {
	Name ServiceName `json:"name"`
	// Slots is the number of requests that one backend server runs at a time.
	Slots int `json:"slots"`
	// LongSlots is the largest number of slots that requests of ClassLong may
	// hold; it is less than Slots, so short work always finds one.
	LongSlots int `json:"long_slots"`
	// Queue bounds the requests that wait at one server for a slot.
	Queue int `json:"queue"`
	// SlowStart is the time over which a new server's share grows to the full.
	SlowStart time.Duration `json:"slow_start_ns"`
	// DrainTimeout bounds how long a leaving server finishes running requests.
	DrainTimeout time.Duration `json:"drain_timeout_ns"`
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
	// Hosts are matched exactly, without the port. Empty means any host that
	// the team was granted.
	Hosts []string `json:"hosts,omitempty"`
	// PathPrefix is matched on whole segments; the longest match wins.
	PathPrefix string `json:"path_prefix"`
	// Methods are HTTP methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Service is the destination.
	Service ServiceName `json:"service"`
	// Idempotent states that running a request twice does no harm.
	Idempotent bool `json:"idempotent"`
	// Class selects the slots that the requests may hold.
	Class Class `json:"class"`
	// Deadline bounds a request from its arrival to the end of its answer.
	Deadline time.Duration `json:"deadline_ns"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `json:"max_body"`
	Retry   Retry `json:"retry"`
	Hedge   Hedge `json:"hedge"`
}

// Retry bounds the further attempts of a request.
type Retry struct {
	// Attempts is the largest number of attempts, the first included.
	Attempts int `json:"attempts"`
	// BudgetPercent bounds retries as a share of recent requests of the route.
	BudgetPercent int `json:"budget_percent"`
}

// Hedge sends an idempotent request to a second server when the first is slow.
type Hedge struct {
	// After is the delay before the second attempt; 0 disables hedging.
	After time.Duration `json:"after_ns"`
	// BudgetPercent bounds hedges as a share of recent requests of the route.
	BudgetPercent int `json:"budget_percent"`
}

// Grant is what the root document allows one team to claim.
type Grant struct {
	Team TeamName `json:"team"`
	// Hosts that the team's routes may match.
	Hosts []string `json:"hosts,omitempty"`
	// PathPrefixes beneath which the team's routes may match.
	PathPrefixes []string `json:"path_prefixes,omitempty"`
}
