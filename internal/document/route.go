package document

import (
	"slices"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Defaults of a route. The deadline and the body limit depend on the class.
const (
	DefaultPath               = "/"
	DefaultShortDeadline      = 2 * time.Second
	DefaultLongDeadline       = 5 * time.Minute
	DefaultShortMaxBody       = 1 << 20  // bytes
	DefaultLongMaxBody        = 64 << 20 // bytes
	DefaultAttempts           = 3
	DefaultRetryBudgetPercent = 20
	DefaultHedgeBudgetPercent = 5
)

// maxBodyLimit is the largest max_body in bytes.
const maxBodyLimit = 1 << 30

// Ranges of the fields of a route.
var (
	deadlineRange    = durationRange{10 * time.Millisecond, time.Hour}
	attemptsRange    = intRange{1, 10}
	retryBudgetRange = intRange{0, 100}
	hedgeAfterRange  = durationRange{0, time.Minute}
	hedgeBudgetRange = intRange{0, 50}
)

// methods are the HTTP methods that a route may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (t *teamReader) routes(v value) {
	t.named(v, func(name string, v value) {
		t.read = append(t.read, t.route(name, v))
	})
	if len(t.read) > maxRoutes {
		t.addf(v, "%d routes are more than the limit of %d", len(t.read), maxRoutes)
		t.read = nil
	}
}

func (t *teamReader) route(name string, v value) placedRoute {
	route := &model.Route{
		Team:       t.team,
		Name:       name,
		PathPrefix: DefaultPath,
		Class:      model.ClassShort,
		Retry:      model.Retry{Attempts: DefaultAttempts, BudgetPercent: DefaultRetryBudgetPercent},
		Hedge:      model.Hedge{BudgetPercent: DefaultHedgeBudgetPercent},
	}
	faults := len(t.list)
	present := t.mapping(v, fields{
		"hosts":      func(v value) { route.Hosts = t.hosts(v) },
		"path":       func(v value) { route.PathPrefix = t.path(v) },
		"methods":    func(v value) { route.Methods = t.methods(v) },
		"service":    func(v value) { route.Service = t.serviceName(v) },
		"idempotent": func(v value) { route.Idempotent = t.boolean(v) },
		"class": func(v value) {
			route.Class = model.Class(t.oneOf(v, string(model.ClassShort), string(model.ClassLong)))
		},
		"deadline": func(v value) { route.Deadline = t.duration(v, deadlineRange) },
		"max_body": func(v value) { route.MaxBody = t.size(v, maxBodyLimit) },
		"retry":    func(v value) { t.retry(v, &route.Retry) },
		"hedge":    func(v value) { t.hedge(v, &route.Hedge) },
	})
	t.applyClassDefaults(route, present)
	t.checkHedge(route, present)
	service, ok := present["service"]
	if !ok {
		t.addf(v, "service is missing")
	}
	return placedRoute{route: route, place: t.place(v), service: t.place(service), faulty: len(t.list) > faults}
}

// applyClassDefaults fills the fields whose default depends on the class.
func (t *teamReader) applyClassDefaults(route *model.Route, present map[string]value) {
	deadline, maxBody := time.Duration(DefaultShortDeadline), int64(DefaultShortMaxBody)
	if route.Class == model.ClassLong {
		deadline, maxBody = DefaultLongDeadline, DefaultLongMaxBody
	}
	if _, ok := present["deadline"]; !ok {
		route.Deadline = deadline
	}
	if _, ok := present["max_body"]; !ok {
		route.MaxBody = maxBody
	}
}

func (t *teamReader) checkHedge(route *model.Route, present map[string]value) {
	if route.Hedge.After == 0 {
		return
	}
	if !route.Idempotent {
		t.addf(present["hedge"], "only an idempotent route may hedge, as both attempts may run")
	}
	if route.Hedge.After >= route.Deadline {
		t.addf(present["hedge"], "hedge.after is %s, but must be less than the deadline, %s", route.Hedge.After, route.Deadline)
	}
}

func (t *teamReader) retry(v value, retry *model.Retry) {
	t.mapping(v, fields{
		"attempts":       func(v value) { retry.Attempts = t.integer(v, attemptsRange) },
		"budget_percent": func(v value) { retry.BudgetPercent = t.integer(v, retryBudgetRange) },
	})
}

func (t *teamReader) hedge(v value, hedge *model.Hedge) {
	t.mapping(v, fields{
		"after":          func(v value) { hedge.After = t.duration(v, hedgeAfterRange) },
		"budget_percent": func(v value) { hedge.BudgetPercent = t.integer(v, hedgeBudgetRange) },
	})
}

func (t *teamReader) path(v value) string {
	path, ok := t.text(v)
	if !ok || !t.checkPath(v, path) {
		return DefaultPath
	}
	return path
}

// methods reads a sorted list of HTTP methods.
func (t *teamReader) methods(v value) []string {
	out := t.texts(v, func(v value, method string) bool {
		if slices.Contains(methods, method) {
			return true
		}
		t.addf(v, "%s is not one of %s", quote(method), strings.Join(methods, ", "))
		return false
	})
	slices.Sort(out)
	return out
}

// serviceName reads the name of an own service or "team/name".
func (t *teamReader) serviceName(v value) model.ServiceName {
	text, ok := t.text(v)
	if !ok {
		return ""
	}
	team, name, qualified := strings.Cut(text, "/")
	if !qualified {
		team, name = string(t.team), text
	}
	if !isName(team) || !isName(name) {
		t.addf(v, "%s is neither the name of a service nor of the form team/name", quote(text))
		return ""
	}
	return model.NewServiceName(model.TeamName(team), name)
}

// checkRoutes finds the faults that concern several declarations.
func (t *teamReader) checkRoutes() {
	for i, r := range t.read {
		t.checkOwnService(r)
		for _, earlier := range t.read[:i] {
			if !earlier.faulty && !r.faulty && claimsOverlap(earlier.route, r.route) {
				t.list.Addf(r.place, "claims the same host, path and method as route %q", earlier.route.Name)
			}
		}
	}
}

func (t *teamReader) checkOwnService(r placedRoute) {
	if r.route.Service == "" || r.route.Service.Team() != t.team {
		return
	}
	i := slices.IndexFunc(t.declared, func(s *model.Service) bool { return s.Name == r.route.Service })
	if i < 0 {
		t.list.Addf(r.service, "service %q is not declared in this document", shortName(r.route.Service))
		return
	}
	if r.route.Class == model.ClassLong && t.declared[i].LongSlots == 0 {
		t.list.Addf(r.service, "service %q has no long_slots, so a route of class long would never run", shortName(r.route.Service))
	}
}

// claimsOverlap reports whether some request matches both routes equally well.
func claimsOverlap(a, b *model.Route) bool {
	return a.PathPrefix == b.PathPrefix && overlap(a.Hosts, b.Hosts) && overlap(a.Methods, b.Methods)
}

// overlap reports whether two sets meet; an empty one stands for all.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}
