package route

import (
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
)

// entry is a route and the position of its destination in a table.
type entry struct {
	route       *model.Route
	destination int
}

// index finds routes by host and path. It is immutable once built.
type index struct {
	hosts map[string]*segment
	// anyHost holds the routes that name no host.
	anyHost *segment
}

// segment is a node of a tree of path segments.
type segment struct {
	children map[string]*segment
	entries  []entry
}

func newIndex(routes []*model.Route, position map[model.ServiceName]int) *index {
	x := &index{hosts: make(map[string]*segment), anyHost: &segment{}}
	for _, r := range routes {
		destination, ok := position[r.Service]
		if !ok {
			continue
		}
		x.add(entry{route: r, destination: destination})
	}
	return x
}

func (x *index) add(e entry) {
	if len(e.route.Hosts) == 0 {
		x.anyHost.add(e.route.PathPrefix, e)
	}
	for _, host := range e.route.Hosts {
		host = CanonicalHost(host)
		if x.hosts[host] == nil {
			x.hosts[host] = &segment{}
		}
		x.hosts[host].add(e.route.PathPrefix, e)
	}
}

func (s *segment) add(prefix string, e entry) {
	for name, rest := nextSegment(prefix); name != ""; name, rest = nextSegment(rest) {
		if s.children == nil {
			s.children = make(map[string]*segment)
		}
		child := s.children[name]
		if child == nil {
			child = &segment{}
			s.children[name] = child
		}
		s = child
	}
	s.entries = append(s.entries, e)
}

// find returns the routes of the longest prefix that matches the path.
func (s *segment) find(path string) []entry {
	longest := s.entries
	for name, rest := nextSegment(path); name != ""; name, rest = nextSegment(rest) {
		s = s.children[name]
		if s == nil {
			break
		}
		if len(s.entries) > 0 {
			longest = s.entries
		}
	}
	return longest
}

// lookup returns the routes that match host and path, those for the exact host
// first.
func (x *index) lookup(host, path string) []entry {
	if exact := x.hosts[host]; exact != nil {
		if entries := exact.find(path); len(entries) > 0 {
			return entries
		}
	}
	return x.anyHost.find(path)
}

// allows reports whether the entry's route takes the method.
func (e entry) allows(method string) bool {
	return len(e.route.Methods) == 0 || slices.Contains(e.route.Methods, method)
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
