// Package route decides which service receives a request and which endpoints the
// service has. A Table holds routes and endpoints together, so every route
// leads to a destination of the same table.
package route

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// MembersOf returns the known members of a service.
type MembersOf func(model.ServiceName) []model.Member

// Table maps requests to routes and services to present endpoints. It is
// immutable; a new table shares everything that did not change with the one
// that it was made from.
type Table struct {
	index *index
	// routes are the indexed routes; the service of each has a destination.
	routes           []*model.Route
	destinationIndex map[model.ServiceName]int
	destinations     []*Destination
	evacuated        evacuatedDomains
	// generation is the number of changes since the empty table.
	generation uint64
	// Revision is the revision of the configuration that the routes come from,
	// AppliedAt the time at which this node applied it.
	Revision  model.Revision
	AppliedAt time.Time
}

// Empty returns a table without routes.
func Empty() *Table { return &Table{index: &index{}} }

// WithTree returns a table for another settings tree. It asks for the members
// of new services only; WithMembers keeps those of the others current. The caller
// must set Revision and AppliedAt.
func (t *Table) WithTree(tree *model.Tree, members MembersOf) *Table {
	next := &Table{generation: t.generation + 1, destinationIndex: t.destinationIndex, evacuated: tree.Evacuated}
	if !t.hasServices(tree) {
		next.destinationIndex = make(map[model.ServiceName]int, len(tree.Services))
		for name := range tree.Services {
			next.destinationIndex[name] = len(next.destinationIndex)
		}
	}
	next.destinations = make([]*Destination, len(next.destinationIndex))
	for name, i := range next.destinationIndex {
		next.destinations[i] = t.withService(tree.Services[name], members, next.evacuated)
	}
	next.routes = declaredRoutes(tree)
	next.index = t.index.replace(t.routes, next.routes)
	return next
}

// hasServices reports whether the table has exactly the services of the tree.
func (t *Table) hasServices(tree *model.Tree) bool {
	for name := range tree.Services {
		if _, ok := t.destinationIndex[name]; !ok {
			return false
		}
	}
	return len(t.destinationIndex) == len(tree.Services)
}

// withService returns the destination of a service in the next table.
func (t *Table) withService(service *model.Service, members MembersOf, evacuated evacuatedDomains) *Destination {
	old, generation := t.Destination(service.Name), t.generation+1
	switch {
	case old == nil:
		return newDestination(service, members(service.Name), evacuated, nil, generation)
	case old.Service != service && *old.Service != *service:
		old = &Destination{Service: service, Endpoints: old.Endpoints, Evacuated: old.Evacuated, Generation: generation}
	}
	if t.evacuated.equal(evacuated) {
		return old
	}
	return old.withEvacuations(evacuated, generation)
}

// declaredRoutes returns the routes of the tree whose services are all declared.
func declaredRoutes(tree *model.Tree) []*model.Route {
	undeclared := func(name model.ServiceName) bool { return tree.Services[name] == nil }
	dangling := func(r *model.Route) bool { return slices.ContainsFunc(r.Destinations(), undeclared) }
	if !slices.ContainsFunc(tree.Routes, dangling) {
		return tree.Routes
	}
	return slices.DeleteFunc(slices.Clone(tree.Routes), dangling)
}

// WithMembers returns a table in which the service has the given members. It
// returns t itself if no endpoint changes.
func (t *Table) WithMembers(name model.ServiceName, members []model.Member) *Table {
	i, ok := t.destinationIndex[name]
	if !ok {
		return t
	}
	old := t.destinations[i]
	d := newDestination(old.Service, members, t.evacuated, old, t.generation+1)
	if d == old {
		return t
	}
	next := *t
	next.generation++
	next.destinations = slices.Clone(t.destinations)
	next.destinations[i] = d
	return &next
}

// Destination returns the destination of a service, or nil.
func (t *Table) Destination(name model.ServiceName) *Destination {
	i, ok := t.destinationIndex[name]
	if !ok {
		return nil
	}
	return t.destinations[i]
}

// Result states how a lookup ended.
type Result uint8

const (
	// NoRoute means that no route matches host and path.
	NoRoute Result = iota
	// MethodNotAllowed means that routes match host and path, not the method.
	MethodNotAllowed
	// Matched means that a route was found.
	Matched
)

// Match is the outcome of a lookup. Route and Destination are nil unless Result is
// Matched.
type Match struct {
	Result      Result
	Route       *model.Route
	Destination *Destination
}

// Lookup finds the route of a request. The host must be in the form that
// [CanonicalHost] returns, the path in the form that the caller sent, not decoded. The
// routes of the exact host take precedence over those for any host; among them the
// longest prefix that begins the path wins, regardless of its methods. The number of
// the request selects the destination of a route with several.
func (t *Table) Lookup(host, path, method string, number uint64) Match {
	result, r := t.Find(host, path, method)
	if result != Matched {
		return Match{Result: result}
	}
	return t.MatchOf(r, number)
}

// MatchOf returns the match of a request of a route of the table. The number of the
// request selects the destination.
func (t *Table) MatchOf(r *model.Route, number uint64) Match {
	return Match{Result: Matched, Route: r, Destination: t.destinationOf(r, number)}
}

// Find is Lookup without the choice of a destination. The route is nil unless the result
// is Matched.
func (t *Table) Find(host, path, method string) (Result, *model.Route) {
	routes := t.index.lookup(host, path)
	for _, r := range routes {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return Matched, r
		}
	}
	if len(routes) > 0 {
		return MethodNotAllowed, nil
	}
	return NoRoute, nil
}

// Methods returns the sorted methods that host and path allow, for the response to a
// request with another method.
func (t *Table) Methods(host, path string) []string {
	var methods []string
	for _, r := range t.index.lookup(host, path) {
		methods = append(methods, r.Methods...)
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}
