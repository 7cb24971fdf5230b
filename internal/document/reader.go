package document

import (
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/galenalever/galenalever/internal/findings"
)

// reader reads values from the syntax tree of one document and collects findings. For
// an invalid value its methods add a finding and return a default or the zero value.
type reader struct {
	source string
	list   findings.List
}

// value is one node of the document and its path in the settings tree. The node is nil
// for a finding about the document as a whole.
type value struct {
	node ast.Node
	path string
}

// fields maps the known field names of a mapping to the functions that read their
// values.
type fields map[string]func(value)

// location leaves line and column 0 if v has no node.
func (r *reader) location(v value) findings.Location {
	location := findings.Location{Source: r.source, Path: v.path}
	if v.node == nil || v.node.GetToken() == nil {
		return location
	}
	if position := v.node.GetToken().Position; position != nil {
		location.Line, location.Column = position.Line, position.Column
	}
	return location
}

func (r *reader) addf(v value, format string, args ...any) {
	r.list.Addf(r.location(v), format, args...)
}

// entry is one key of a mapping with its value.
type entry struct {
	name  string
	key   value
	value value
}

// entries returns the entries of a mapping. Duplicate keys are findings, and only
// the first is returned.
func (r *reader) entries(v value) []entry {
	var pairs []*ast.MappingValueNode
	switch node := v.node.(type) {
	case *ast.MappingNode:
		pairs = node.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{node}
	default:
		r.addf(v, "must be a mapping, not %s", kindOf(v.node))
		return nil
	}
	seen := make(map[string]bool, len(pairs))
	out := make([]entry, 0, len(pairs))
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		path := joinPath(v.path, name)
		e := entry{name: name, key: value{node: pair.Key, path: path}, value: value{node: pair.Value, path: path}}
		if seen[name] {
			r.addf(e.key, "duplicate key %s", quote(name))
			continue
		}
		seen[name] = true
		out = append(out, e)
	}
	return out
}

// mapping reads a mapping with known fields and returns the values of those
// present by name. Unknown fields are findings.
func (r *reader) mapping(v value, known fields) map[string]value {
	present := make(map[string]value)
	for _, e := range r.entries(v) {
		read, ok := known[e.name]
		if !ok {
			names := slices.Sorted(maps.Keys(known))
			r.addf(e.key, "unknown field %s; known are %s", quote(e.name), strings.Join(names, ", "))
			continue
		}
		present[e.name] = e.value
		read(e.value)
	}
	return present
}

// namedEntries reads a mapping whose keys are names chosen by operators, such as
// the services of a team. Invalid names are findings.
func (r *reader) namedEntries(v value, read func(name string, v value)) {
	for _, e := range r.entries(v) {
		if !isName(e.name) {
			r.addf(e.key, "%s is not a name: use up to %d lower-case letters, digits and inner hyphens", quote(e.name), maxNameLength)
			continue
		}
		read(e.name, e.value)
	}
}

// joinPath appends a name to a path of the settings tree. It shortens long names, since
// findings contain the path.
func joinPath(path, name string) string {
	name = shorten(name)
	if path == "" {
		return name
	}
	return path + "." + name
}

// kindEmpty is the kind of a field without a value.
const kindEmpty = "empty"

// kindOf returns the name of a node's YAML type for use in findings.
func kindOf(node ast.Node) string {
	switch node.(type) {
	case nil, *ast.NullNode:
		return kindEmpty
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	default:
		return "text"
	}
}
