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
	// longSlotsDivisor gives the default of long_slots as a share of slots.
	longSlotsDivisor = 3
)

// Bounds of one team's document.
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
	out := model.Declarations{Services: t.declared, Commands: t.vocabulary}
	for _, route := range t.read {
		out.Routes = append(out.Routes, route.route)
	}
	return out
}

// teamReader collects the declarations of one team's document.
type teamReader struct {
	*reader
	team     model.TeamName
	declared []*model.Service
	read     []placedRoute
	// vocabulary holds the runbook commands.
	vocabulary []*model.Command
}

// placedRoute is a route and the places of its fields.
type placedRoute struct {
	route   *model.Route
	place   findings.Location
	service findings.Location
	// faulty routes are left out of the checks against other routes.
	faulty bool
}

func (t *teamReader) name(v value) {
	if name, ok := t.text(v); ok && name != string(t.team) {
		t.addf(v, "team is %s, but the key of the document says %q", quote(name), t.team)
	}
}

func (t *teamReader) services(v value) {
	t.named(v, func(name string, v value) {
		t.declared = append(t.declared, t.service(name, v))
	})
	if len(t.declared) > maxServices {
		t.addf(v, "%d services are more than the limit of %d", len(t.declared), maxServices)
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
	faults := len(t.list)
	present := t.mapping(v, fields{
		"slots":         func(v value) { s.Slots = t.integer(v, slotsRange) },
		"long_slots":    func(v value) { s.LongSlots = t.integer(v, longSlotsRange) },
		"queue":         func(v value) { s.Queue = t.integer(v, queueRange) },
		"slow_start":    func(v value) { s.SlowStart = t.duration(v, slowStartRange) },
		"drain_timeout": func(v value) { s.DrainTimeout = t.duration(v, drainTimeoutRange) },
	})
	long, ok := present["long_slots"]
	if !ok {
		s.LongSlots = s.Slots / longSlotsDivisor
	}
	if ok && s.LongSlots >= s.Slots && len(t.list) == faults {
		t.addf(long, "long_slots is %d, but must be less than slots, %d", s.LongSlots, s.Slots)
	}
	return s
}
