// Package route decides which service takes a request and which endpoints the
// service has. A Table holds routes and endpoints together, so a route never
// points at a server that the table lacks.
package route

import (
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// MembersOf returns the known members of a service.
type MembersOf func(model.ServiceName) []model.Member

// Table maps requests to routes and services to present endpoints. It is
// immutable; a new table shares everything that did not change with the one
// that it was made from.
type Table struct {
	index        *index
	position     map[model.ServiceName]int
	destinations []*Destination
	generation   uint64
}

// Empty returns a table without routes.
func Empty() *Table { return &Table{index: newIndex(nil, nil)} }

// WithTree returns a table for another settings tree.
func (t *Table) WithTree(tree *model.Tree, members MembersOf) *Table {
	next := &Table{
		position:     make(map[model.ServiceName]int, len(tree.Services)),
		destinations: make([]*Destination, 0, len(tree.Services)),
		generation:   t.generation + 1,
	}
	for name, service := range tree.Services {
		next.position[name] = len(next.destinations)
		d := newDestination(service, members(name), t.Destination(name), next.generation)
		next.destinations = append(next.destinations, d)
	}
	next.index = newIndex(tree.Routes, next.position)
	return next
}

// WithMembers returns a table in which the service has the given members. It
// returns t itself if no endpoint changes.
func (t *Table) WithMembers(name model.ServiceName, members []model.Member) *Table {
	i, ok := t.position[name]
	if !ok {
		return t
	}
	old := t.destinations[i]
	d := newDestination(old.Service, members, old, t.generation+1)
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
	i, ok := t.position[name]
	if !ok {
		return nil
	}
	return t.destinations[i]
}

// Result tells how a lookup ended.
type Result uint8

const (
	// NoRoute means that no route matches host and path.
	NoRoute Result = iota
	// MethodNotAllowed means that routes match host and path, not the method.
	MethodNotAllowed
	// Matched means that a route was found.
	Matched
)

// Match is the outcome of a lookup.
type Match struct {
	Result      Result
	Route       *model.Route
	Destination *Destination
}

// Lookup finds the route of a request. The host is in canonical form. The
// routes of the exact host go before those for any host; among them the
// longest path prefix wins, whatever its methods.
func (t *Table) Lookup(host, path, method string) Match {
	entries := t.index.lookup(host, path)
	for _, e := range entries {
		if e.allows(method) {
			return Match{Result: Matched, Route: e.route, Destination: t.destinations[e.destination]}
		}
	}
	if len(entries) > 0 {
		return Match{Result: MethodNotAllowed}
	}
	return Match{Result: NoRoute}
}

// Methods returns the sorted methods that host and path allow, for the answer
// to a request with another method.
func (t *Table) Methods(host, path string) []string {
	var methods []string
	for _, e := range t.index.lookup(host, path) {
		methods = append(methods, e.route.Methods...)
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}
