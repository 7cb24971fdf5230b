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

// segment is a node of a tree of path segments. A nil segment has no routes.
type segment struct {
	children map[string]*segment
	// routes are ordered by team and name.
	routes []*model.Route
}

// find returns the routes of the longest prefix that matches the path.
func (s *segment) find(path string) []*model.Route {
	if s == nil {
		return nil
	}
	longest := s.routes
	for name, rest := nextSegment(path); name != ""; name, rest = nextSegment(rest) {
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

// indexEdit makes a changed copy of an index.
type indexEdit struct {
	index
	// owned holds the segments that are not shared with the original.
	owned map[*segment]struct{}
}

// replace returns an index in which the routes of old are replaced by those of
// next. Routes are told apart by their pointers.
func (x *index) replace(old, next []*model.Route) *index {
	e := indexEdit{owned: make(map[*segment]struct{})}
	e.anyHost, e.hosts = x.anyHost, maps.Clone(x.hosts)
	if e.hosts == nil {
		e.hosts = make(map[string]*segment)
	}
	for _, r := range without(old, next) {
		e.change(r, (*segment).remove)
	}
	for _, r := range without(next, old) {
		e.change(r, (*segment).add)
	}
	return &e.index
}

// without returns the routes of list that other lacks.
func without(list, other []*model.Route) []*model.Route {
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

// change applies a change to the segments that hold a route.
func (e *indexEdit) change(r *model.Route, apply func(*segment, *model.Route)) {
	if len(r.Hosts) == 0 {
		e.anyHost = e.changePath(e.anyHost, r.PathPrefix, r, apply)
	}
	for _, host := range r.Hosts {
		host = CanonicalHost(host)
		if s := e.changePath(e.hosts[host], r.PathPrefix, r, apply); s != nil {
			e.hosts[host] = s
		} else {
			delete(e.hosts, host)
		}
	}
}

// changePath returns s with the change applied at the end of path, or nil if it
// has become empty.
func (e *indexEdit) changePath(
	s *segment, path string, r *model.Route, apply func(*segment, *model.Route),
) *segment {
	s = e.own(s)
	if name, rest := nextSegment(path); name == "" {
		apply(s, r)
	} else if child := e.changePath(s.children[name], rest, r, apply); child != nil {
		s.children[name] = child
	} else {
		delete(s.children, name)
	}
	if len(s.children) == 0 && len(s.routes) == 0 {
		return nil
	}
	return s
}

// own returns a segment that may be changed in place of s.
func (e *indexEdit) own(s *segment) *segment {
	if _, ok := e.owned[s]; ok {
		return s
	}
	changed := &segment{children: make(map[string]*segment)}
	if s != nil {
		maps.Copy(changed.children, s.children)
		changed.routes = slices.Clone(s.routes)
	}
	e.owned[changed] = struct{}{}
	return changed
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

// nextSegment splits the first non-empty segment off a path.
func nextSegment(path string) (name, rest string) {
	path = strings.TrimLeft(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:]
	}
	return path, ""
}

// CanonicalHost returns the host in lower case, without a port and without the
// dot at the end.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
