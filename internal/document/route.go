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

// maxBodyLimit is the largest value of max_body in bytes.
const maxBodyLimit = 1 << 30

// Ranges of the fields of a route.
var (
	deadlineRange    = durationRange{10 * time.Millisecond, time.Hour}
	attemptsRange    = intRange{1, 10}
	retryBudgetRange = intRange{0, 100}
	hedgeAfterRange  = durationRange{0, time.Minute} // 0 disables hedging
	hedgeBudgetRange = intRange{0, 50}
)

// methods are the HTTP methods that a route may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (t *teamReader) routes(v value) {
	t.namedEntries(v, func(name string, v value) {
		t.parsedRoutes = append(t.parsedRoutes, t.route(name, v))
	})
	if len(t.parsedRoutes) > maxRoutes {
		t.addf(v, "%d routes are more than the limit of %d", len(t.parsedRoutes), maxRoutes)
		t.parsedRoutes = nil // checkRoutes compares each route with all others
	}
}

func (t *teamReader) route(name string, v value) parsedRoute {
	route := &model.Route{
		Team:       t.team,
		Name:       name,
		PathPrefix: DefaultPath,
		Class:      model.ClassShort,
		Retry:      model.Retry{Attempts: DefaultAttempts, BudgetPercent: DefaultRetryBudgetPercent},
		Hedge:      model.Hedge{BudgetPercent: DefaultHedgeBudgetPercent},
	}
	findingsBefore := len(t.list)
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
	return parsedRoute{route: route, location: t.location(v), serviceLocation: t.location(service), invalid: len(t.list) > findingsBefore}
}

// applyClassDefaults sets the absent fields whose default depends on the class.
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

// checkHedge reports hedging that is unsafe or would never begin.
func (t *teamReader) checkHedge(route *model.Route, present map[string]value) {
	if route.Hedge.After == 0 {
		return
	}
	if !route.Idempotent {
		t.addf(present["hedge"], "hedging needs idempotent: true, because both attempts may run")
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

// methods reads a list of HTTP methods and returns it sorted.
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

// serviceName reads the name of a service of the same team, or "team/name". It returns
// "" for an invalid name.
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

// checkRoutes reports routes that refer to an unsuitable service of this document
// or overlap an earlier route.
func (t *teamReader) checkRoutes() {
	for i, r := range t.parsedRoutes {
		t.checkDeclaredService(r)
		for _, earlier := range t.parsedRoutes[:i] {
			if !earlier.invalid && !r.invalid && claimsOverlap(earlier.route, r.route) {
				t.list.Addf(r.location, "claims the same host, path and method as route %q", earlier.route.Name)
			}
		}
	}
}

// checkDeclaredService reports a route to a service of the same team that is not
// declared, or that has no slots for the route's class.
func (t *teamReader) checkDeclaredService(r parsedRoute) {
	if r.route.Service == "" || r.route.Service.Team() != t.team {
		return
	}
	i := slices.IndexFunc(t.parsedServices, func(s *model.Service) bool { return s.Name == r.route.Service })
	if i < 0 {
		t.list.Addf(r.serviceLocation, "service %q is not declared in this document", shortName(r.route.Service))
		return
	}
	if r.route.Class == model.ClassLong && t.parsedServices[i].LongSlots == 0 {
		t.list.Addf(r.serviceLocation, "service %q has no long_slots, so requests of class long would never run", shortName(r.route.Service))
	}
}

// claimsOverlap reports whether a request can match both routes with the same
// path prefix, so that neither takes precedence.
func claimsOverlap(a, b *model.Route) bool {
	return a.PathPrefix == b.PathPrefix && filtersIntersect(a.Hosts, b.Hosts) && filtersIntersect(a.Methods, b.Methods)
}

// filtersIntersect treats an empty filter as matching everything.
func filtersIntersect(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}
