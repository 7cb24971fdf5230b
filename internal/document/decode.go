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
	declarations := &model.Declarations{}
	for _, leaf := range subtree.Leaves {
		if err := decodeLeaf(declarations, subtree.Key, leaf); err != nil {
			return nil, eris.Wrapf(err, "leaf %s of %s", quote(leaf.Path), subtree.Key)
		}
	}
	return declarations, nil
}

func decodeLeaf(declarations *model.Declarations, key model.Key, leaf model.Leaf) error {
	team, _ := key.Team()
	if name, ok := strings.CutPrefix(leaf.Path, servicesPath); ok {
		service, err := decodeValue[model.Service](leaf.Value)
		if err != nil {
			return err
		}
		declarations.Services = append(declarations.Services, service)
		return requireIdentity(service.Name == model.NewServiceName(team, name))
	}
	if name, ok := strings.CutPrefix(leaf.Path, routesPath); ok {
		route, err := decodeValue[model.Route](leaf.Value)
		if err != nil {
			return err
		}
		declarations.Routes = append(declarations.Routes, route)
		return requireIdentity(route.Team == team && route.Name == name)
	}
	if name, ok := strings.CutPrefix(leaf.Path, grantsPath); ok {
		grant, err := decodeValue[model.Grant](leaf.Value)
		if err != nil {
			return err
		}
		declarations.Grants = append(declarations.Grants, grant)
		return requireIdentity(key == model.RootKey && grant.Team == model.TeamName(name))
	}
	if name, ok := strings.CutPrefix(leaf.Path, commandsPath); ok {
		command, err := decodeValue[model.Command](leaf.Value)
		if err != nil {
			return err
		}
		declarations.Commands = append(declarations.Commands, command)
		return requireIdentity(command.Team == team && command.Name == name)
	}
	return eris.New("path is not known")
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

func requireIdentity(ok bool) error {
	if !ok {
		return eris.New("value belongs to another path")
	}
	return nil
}

func shortName(name model.ServiceName) string {
	_, short, _ := strings.Cut(string(name), "/")
	return short
}
