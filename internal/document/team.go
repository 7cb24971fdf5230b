package document

import (
	"time"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// Defaults of a service.
const (
	DefaultSlots        = 6
	DefaultQueue        = 32
	DefaultSlowStart    = 10 * time.Second
	DefaultDrainTimeout = 5 * time.Minute
	// longSlotsDivisor divides slots to give the default of long_slots.
	longSlotsDivisor = 3
)

// Limits of one team's document.
const (
	maxServices = 500
	maxRoutes   = 1000
)

// Ranges of the fields of a service.
var (
	slotsRange        = intRange{1, 1000}
	longSlotsRange    = intRange{0, 999}
	queueRange        = intRange{0, 10_000}
	slowStartRange    = durationRange{0, 10 * time.Minute}
	warmupRateRange   = intRange{0, 100_000}
	warmupRange       = durationRange{0, time.Hour}
	drainTimeoutRange = durationRange{time.Second, time.Hour}
)

// team reads the document of a team.
func (r *reader) team(body value, team model.TeamName) model.Declarations {
	t := teamReader{reader: r, team: team}
	present := r.mapping(body, fields{
		"team":     t.name,
		"services": t.services,
		"routes":   t.routes,
		"commands": t.commands,
	})
	if _, ok := present["team"]; !ok && len(present) > 0 {
		r.addf(body, "team is missing")
	}
	t.checkRoutes()
	out := model.Declarations{Services: t.parsedServices, Commands: t.parsedCommands}
	for _, route := range t.parsedRoutes {
		out.Routes = append(out.Routes, route.route)
	}
	return out
}

// teamReader collects the declarations of one team's document.
type teamReader struct {
	*reader
	team           model.TeamName
	parsedServices []*model.Service
	parsedRoutes   []parsedRoute
	parsedCommands []*model.Command
}

// parsedRoute is a route with its location and that of its service field.
type parsedRoute struct {
	route           *model.Route
	location        findings.Location
	serviceLocation findings.Location
	// invalid is true if the route itself has findings; it is then left out of the
	// checks against other routes.
	invalid bool
}

// name checks that the team field matches the key of the document.
func (t *teamReader) name(v value) {
	if name, ok := t.text(v); ok && name != string(t.team) {
		t.addf(v, "team is %s, but the document's key is that of team %q", quote(name), t.team)
	}
}

func (t *teamReader) services(v value) {
	t.namedEntries(v, func(name string, v value) {
		t.parsedServices = append(t.parsedServices, t.service(name, v))
	})
	if len(t.parsedServices) > maxServices {
		t.addf(v, "%d services are more than the limit of %d", len(t.parsedServices), maxServices)
	}
}

func (t *teamReader) service(name string, v value) *model.Service {
	s := &model.Service{
		Name:         model.NewServiceName(t.team, name),
		Slots:        DefaultSlots,
		Queue:        DefaultQueue,
		SlowStart:    DefaultSlowStart,
		DrainTimeout: DefaultDrainTimeout,
	}
	findingsBefore := len(t.list)
	present := t.mapping(v, fields{
		"slots":         func(v value) { s.Slots = t.integer(v, slotsRange) },
		"long_slots":    func(v value) { s.LongSlots = t.integer(v, longSlotsRange) },
		"queue":         func(v value) { s.Queue = t.integer(v, queueRange) },
		"slow_start":    func(v value) { s.SlowStart = t.duration(v, slowStartRange) },
		"warmup_rate":   func(v value) { s.WarmupRate = float64(t.integer(v, warmupRateRange)) },
		"warmup":        func(v value) { s.Warmup = t.duration(v, warmupRange) },
		"drain_timeout": func(v value) { s.DrainTimeout = t.duration(v, drainTimeoutRange) },
	})
	if rate, ok := present["warmup_rate"]; ok && s.WarmupRate > 0 && s.Warmup == 0 && len(t.list) == findingsBefore {
		t.addf(rate, "warmup_rate has no effect without warmup")
	}
	long, ok := present["long_slots"]
	if !ok {
		s.LongSlots = s.Slots / longSlotsDivisor
	}
	if ok && s.LongSlots >= s.Slots && len(t.list) == findingsBefore {
		t.addf(long, "long_slots is %d, but must be less than slots, %d", s.LongSlots, s.Slots)
	}
	return s
}
