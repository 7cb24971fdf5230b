package ingress

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/model"
)

// metrics counts requests by route, outcome and reason, and attempts by route.
type metrics struct {
	scope    tally.Scope
	series   sync.Map // seriesKey -> *series
	attempts sync.Map // routeKey -> tally.Counter
	retries  sync.Map // routeKey -> tally.Counter
}

type routeKey struct {
	team model.TeamName
	name string
}

type seriesKey struct {
	routeKey
	outcome model.Outcome
	reason  model.Reason
}

type series struct {
	requests tally.Counter
	duration tally.Histogram
}

// durationBuckets span 250 microseconds to 65 seconds.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 19)

// count adds one request that took the given time. The route is nil if none was found.
func (m *metrics) count(rt *model.Route, outcome model.Outcome, reason model.Reason, took time.Duration) {
	key := seriesKey{outcome: outcome, reason: reason}
	if rt != nil {
		key.routeKey = routeKey{team: rt.Team, name: rt.Name}
	}
	found, ok := m.series.Load(key)
	if !ok {
		found, _ = m.series.LoadOrStore(key, m.newSeries(key))
	}
	s := found.(*series)
	s.requests.Inc(1)
	s.duration.RecordDuration(took)
}

// countAttempts adds the attempts of one request. The ratio of attempts to requests
// shows the load that retries and hedges add.
func (m *metrics) countAttempts(rt *model.Route, attempts int) {
	m.countByRoute(&m.attempts, "attempts", rt, int64(attempts))
}

// countExpectedRetry adds one refused request whose caller is expected to come again.
func (m *metrics) countExpectedRetry(rt *model.Route) {
	m.countByRoute(&m.retries, "retries_expected", rt, 1)
}

func (m *metrics) countByRoute(counters *sync.Map, name string, rt *model.Route, n int64) {
	key := routeKey{team: rt.Team, name: rt.Name}
	found, ok := counters.Load(key)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"team": string(rt.Team), "route": rt.Name})
		found, _ = counters.LoadOrStore(key, scope.Counter(name))
	}
	found.(tally.Counter).Inc(n)
}

func (m *metrics) newSeries(key seriesKey) *series {
	scope := m.scope.Tagged(map[string]string{
		"team": string(key.team), "route": key.name,
		"outcome": key.outcome.String(), "reason": string(key.reason),
	})
	return &series{requests: scope.Counter("requests"), duration: scope.Histogram("duration", durationBuckets)}
}
