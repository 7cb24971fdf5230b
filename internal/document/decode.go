package document

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// Decode returns the typed content of a subtree. It is the inverse of parsing;
// an error means that the leaves were not made by this package.
func Decode(subtree *model.Subtree) (*model.Declarations, error) {
	return NewDecoder().Decode(subtree)
}

// Decoder decodes the versions of subtrees one after the other. A leaf that is
// the same as in the version before is not decoded again, so that a version costs
// in proportion to its changes. It is used by one goroutine at a time, and what it
// returns must not be changed.
type Decoder struct {
	previous map[model.Key]map[string]decodedLeaf
}

// decodedLeaf is a leaf's value with the declaration that it holds.
type decodedLeaf struct {
	value       []byte
	declaration any
}

// NewDecoder returns a decoder that knows no version.
func NewDecoder() *Decoder {
	return &Decoder{previous: make(map[model.Key]map[string]decodedLeaf)}
}

// Decode returns the declarations in the leaves of a subtree. The error names the
// first leaf that cannot be read.
func (d *Decoder) Decode(subtree *model.Subtree) (*model.Declarations, error) {
	declarations := &model.Declarations{}
	known := d.previous[subtree.Key]
	next := make(map[string]decodedLeaf, len(subtree.Leaves))
	for _, leaf := range subtree.Leaves {
		entry, ok := known[leaf.Path]
		if !ok || !bytes.Equal(entry.value, leaf.Value) {
			declaration, err := decodeLeaf(subtree.Key, leaf)
			if err != nil {
				return nil, eris.Wrapf(err, "leaf %s of %s", quote(leaf.Path), subtree.Key)
			}
			entry = decodedLeaf{value: leaf.Value, declaration: declaration}
		}
		next[leaf.Path] = entry
		add(declarations, entry.declaration)
	}
	d.previous[subtree.Key] = next
	return declarations, nil
}

func add(to *model.Declarations, declaration any) {
	switch d := declaration.(type) {
	case *model.Service:
		to.Services = append(to.Services, d)
	case *model.Route:
		to.Routes = append(to.Routes, d)
	case *model.Grant:
		to.Grants = append(to.Grants, d)
	case *model.Command:
		to.Commands = append(to.Commands, d)
	}
}

// decodeLeaf returns the declaration in a leaf, which must be that of its path.
func decodeLeaf(key model.Key, leaf model.Leaf) (any, error) {
	team, _ := key.Team()
	if name, ok := strings.CutPrefix(leaf.Path, servicesPath); ok {
		service, err := decodeValue[model.Service](leaf.Value)
		return identified(service, err, func() bool { return service.Name == model.NewServiceName(team, name) })
	}
	if name, ok := strings.CutPrefix(leaf.Path, routesPath); ok {
		route, err := decodeValue[model.Route](leaf.Value)
		return identified(route, err, func() bool { return route.Team == team && route.Name == name })
	}
	if name, ok := strings.CutPrefix(leaf.Path, grantsPath); ok {
		grant, err := decodeValue[model.Grant](leaf.Value)
		return identified(grant, err, func() bool { return key == model.RootKey && grant.Team == model.TeamName(name) })
	}
	if name, ok := strings.CutPrefix(leaf.Path, commandsPath); ok {
		command, err := decodeValue[model.Command](leaf.Value)
		return identified(command, err, func() bool { return command.Team == team && command.Name == name })
	}
	return nil, eris.New("path is not known")
}

// identified returns a declaration that is the one of its path.
func identified(declaration any, err error, own func() bool) (any, error) {
	if err != nil {
		return nil, err
	}
	if !own() {
		return nil, eris.New("value belongs to another path")
	}
	return declaration, nil
}

func decodeValue[T any](value []byte) (*T, error) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	out := new(T)
	if err := decoder.Decode(out); err != nil {
		return nil, eris.Wrap(err, "value")
	}
	return out, nil
}

func shortName(name model.ServiceName) string {
	_, short, _ := strings.Cut(string(name), "/")
	return short
}
