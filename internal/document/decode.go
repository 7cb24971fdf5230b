package document

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// Decode returns the declarations in the leaves of a subtree. It is the inverse
// of [Encode]; an error means that the leaves were not encoded by this package.
func Decode(subtree *model.Subtree) (*model.Declarations, error) {
	return NewDecoder().Decode(subtree)
}

// Decoder decodes successive versions of subtrees. It caches the declarations of
// the last version and reuses those of unchanged leaves, so that the cost of a
// version is proportional to its changes. It is not safe for concurrent use, and
// callers must not modify the declarations that it returns.
type Decoder struct {
	previous map[model.Key]map[string]decodedLeaf
}

// decodedLeaf is the encoded value of a leaf and the declaration decoded from it.
type decodedLeaf struct {
	value       []byte
	declaration any
}

// NewDecoder returns a decoder with an empty cache.
func NewDecoder() *Decoder {
	return &Decoder{previous: make(map[model.Key]map[string]decodedLeaf)}
}

// Decode returns the declarations in the leaves of a subtree. The error names the
// first leaf that cannot be decoded.
func (d *Decoder) Decode(subtree *model.Subtree) (*model.Declarations, error) {
	declarations := &model.Declarations{}
	previous := d.previous[subtree.Key]
	current := make(map[string]decodedLeaf, len(subtree.Leaves))
	for _, leaf := range subtree.Leaves {
		entry, ok := previous[leaf.Path]
		if !ok || !bytes.Equal(entry.value, leaf.Value) {
			declaration, err := decodeLeaf(subtree.Key, leaf)
			if err != nil {
				return nil, eris.Wrapf(err, "leaf %s of %s", quote(leaf.Path), subtree.Key)
			}
			entry = decodedLeaf{value: leaf.Value, declaration: declaration}
		}
		current[leaf.Path] = entry
		appendDeclaration(declarations, entry.declaration)
	}
	d.previous[subtree.Key] = current
	return declarations, nil
}

func appendDeclaration(to *model.Declarations, declaration any) {
	switch d := declaration.(type) {
	case *model.Service:
		to.Services = append(to.Services, d)
	case *model.Route:
		to.Routes = append(to.Routes, d)
	case *model.Grant:
		to.Grants = append(to.Grants, d)
	case *model.Command:
		to.Commands = append(to.Commands, d)
	case *model.Evacuation:
		to.Evacuations = append(to.Evacuations, d)
	}
}

// decodeLeaf returns the declaration in a leaf. Its team and name must match the
// path of the leaf.
func decodeLeaf(key model.Key, leaf model.Leaf) (any, error) {
	team, _ := key.Team()
	if name, ok := strings.CutPrefix(leaf.Path, servicesPath); ok {
		service, err := decodeValue[model.Service](leaf.Value)
		return checkIdentity(service, err, func() bool { return service.Name == model.NewServiceName(team, name) })
	}
	if name, ok := strings.CutPrefix(leaf.Path, routesPath); ok {
		route, err := decodeValue[model.Route](leaf.Value)
		return checkIdentity(route, err, func() bool { return route.Team == team && route.Name == name })
	}
	if name, ok := strings.CutPrefix(leaf.Path, grantsPath); ok {
		grant, err := decodeValue[model.Grant](leaf.Value)
		return checkIdentity(grant, err, func() bool { return key == model.RootKey && grant.Team == model.TeamName(name) })
	}
	if name, ok := strings.CutPrefix(leaf.Path, commandsPath); ok {
		command, err := decodeValue[model.Command](leaf.Value)
		return checkIdentity(command, err, func() bool { return command.Team == team && command.Name == name })
	}
	if name, ok := strings.CutPrefix(leaf.Path, evacuationsPath); ok {
		evacuation, err := decodeValue[model.Evacuation](leaf.Value)
		return checkIdentity(evacuation, err, func() bool {
			domain, ok := key.Evacuation()
			return ok && evacuation.Domain == domain && string(domain) == name
		})
	}
	return nil, eris.New("path begins with none of the known prefixes")
}

// checkIdentity returns the declaration if decoding succeeded and its team and
// name match the path of the leaf.
func checkIdentity(declaration any, err error, matchesPath func() bool) (any, error) {
	if err != nil {
		return nil, err
	}
	if !matchesPath() {
		return nil, eris.New("team or name in the value does not match the path")
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

// shortName returns the name of a service without its team.
func shortName(name model.ServiceName) string {
	_, short, _ := strings.Cut(string(name), "/")
	return short
}
