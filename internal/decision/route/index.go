package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
)

// index finds routes by host and path. It is immutable; a changed index shares
// what did not change with the one it was made from.
type index struct {
	hosts map[string]*segment
	// anyHost holds the routes that name no host.
	anyHost *segment
}

// segment is a node of a tree of path prefixes: each edge is the text up to the next
// slash, which may be empty, and that slash. A nil segment has no routes.
type segment struct {
	children map[string]*segment
	// routes are ordered by team and name.
	routes []*model.Route
}

// find returns the routes with the longest prefix that begins the path.
func (s *segment) find(path string) []*model.Route {
	if s == nil {
		return nil
	}
	longest := s.routes
	for name, rest, ok := strings.Cut(path, "/"); ok; name, rest, ok = strings.Cut(rest, "/") {
		s = s.children[name]
		if s == nil {
			break
		}
		if len(s.routes) > 0 {
			longest = s.routes
		}
	}
	return longest
}

// lookup returns the routes that match host and path, those for the exact host
// first.
func (x *index) lookup(host, path string) []*model.Route {
	if routes := x.hosts[host].find(path); len(routes) > 0 {
		return routes
	}
	return x.anyHost.find(path)
}

// indexBuilder makes a changed copy of an index.
type indexBuilder struct {
	index
	// copied holds the segments that are not shared with the original.
	copied map[*segment]struct{}
}

// replace returns an index in which the routes of old are replaced by those of
// next. Routes are compared by pointer.
func (x *index) replace(old, next []*model.Route) *index {
	b := indexBuilder{copied: make(map[*segment]struct{})}
	b.anyHost, b.hosts = x.anyHost, maps.Clone(x.hosts)
	if b.hosts == nil {
		b.hosts = make(map[string]*segment)
	}
	for _, r := range difference(old, next) {
		b.update(r, (*segment).remove)
	}
	for _, r := range difference(next, old) {
		b.update(r, (*segment).add)
	}
	return &b.index
}

func difference(list, other []*model.Route) []*model.Route {
	known := make(map[*model.Route]struct{}, len(other))
	for _, r := range other {
		known[r] = struct{}{}
	}
	var rest []*model.Route
	for _, r := range list {
		if _, ok := known[r]; !ok {
			rest = append(rest, r)
		}
	}
	return rest
}

// update applies a change to the segments that hold a route.
func (b *indexBuilder) update(r *model.Route, apply func(*segment, *model.Route)) {
	if len(r.Hosts) == 0 {
		b.anyHost = b.updatePath(b.anyHost, r.PathPrefix, r, apply)
	}
	for _, host := range r.Hosts {
		host = CanonicalHost(host)
		if s := b.updatePath(b.hosts[host], r.PathPrefix, r, apply); s != nil {
			b.hosts[host] = s
		} else {
			delete(b.hosts, host)
		}
	}
}

// updatePath returns s with the change applied at the end of path, or nil if it
// has become empty.
func (b *indexBuilder) updatePath(
	s *segment, path string, r *model.Route, apply func(*segment, *model.Route),
) *segment {
	s = b.mutable(s)
	if name, rest, ok := strings.Cut(path, "/"); !ok {
		apply(s, r)
	} else if child := b.updatePath(s.children[name], rest, r, apply); child != nil {
		s.children[name] = child
	} else {
		delete(s.children, name)
	}
	if len(s.children) == 0 && len(s.routes) == 0 {
		return nil
	}
	return s
}

// mutable returns s if it is already a copy, otherwise a copy of it, which may be
// changed.
func (b *indexBuilder) mutable(s *segment) *segment {
	if _, ok := b.copied[s]; ok {
		return s
	}
	duplicate := &segment{children: make(map[string]*segment)}
	if s != nil {
		maps.Copy(duplicate.children, s.children)
		duplicate.routes = slices.Clone(s.routes)
	}
	b.copied[duplicate] = struct{}{}
	return duplicate
}

func (s *segment) add(r *model.Route) {
	i, _ := slices.BinarySearchFunc(s.routes, r, compareRoutes)
	s.routes = slices.Insert(s.routes, i, r)
}

func (s *segment) remove(r *model.Route) {
	s.routes = slices.DeleteFunc(s.routes, func(other *model.Route) bool { return other == r })
}

func compareRoutes(a, b *model.Route) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
}

// CanonicalHost returns the host in lower case, without a port and without
// the final dot.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
