package accept

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// violation is a fault of the composition. A change of any of the blamed
// subtrees can have caused it and can fix it.
type violation struct {
	blamed  []model.Key
	finding findings.Finding
}

// violations checks the dirty subtrees again and returns all violations of the
// composition, in order of their keys.
func (x *index) violations() []violation {
	for key := range x.dirty {
		delete(x.openViolations, key)
		if d := x.subtrees[key]; d != nil {
			if found := x.check(key, d); len(found) > 0 {
				x.openViolations[key] = found
			}
		}
	}
	clear(x.dirty)
	var out []violation
	for _, key := range slices.Sorted(maps.Keys(x.openViolations)) {
		out = append(out, x.openViolations[key]...)
	}
	return out
}

func (x *index) check(key model.Key, d *decodedSubtree) []violation {
	location := findings.Location{Source: string(key)}
	if d.decodeErr != nil {
		return []violation{newViolation(location, []model.Key{key}, "cannot be decoded: %v", d.decodeErr)}
	}
	team, ok := key.Team()
	if !ok {
		return nil
	}
	grant := x.grants[team]
	if grant == nil {
		return []violation{newViolation(location, []model.Key{key, model.RootKey}, "the root document grants team %q nothing", team)}
	}
	var out []violation
	for i, route := range d.declarations.Routes {
		out = append(out, x.checkService(key, route)...)
		out = append(out, checkPath(key, route)...)
		out = append(out, checkGrant(key, route, grant)...)
		out = append(out, x.checkClaims(key, route, x.routes[key][i])...)
	}
	return out
}

func newViolation(location findings.Location, blamed []model.Key, format string, args ...any) violation {
	return violation{blamed: blamed, finding: findings.Finding{Location: location, Message: fmt.Sprintf(format, args...)}}
}

// routeLocation returns the location of a route, or of its field, such as ".path".
func routeLocation(key model.Key, route *model.Route, field string) findings.Location {
	return findings.Location{Source: string(key), Path: "routes." + route.Name + field}
}

// checkService returns a violation for each service of the route that is not
// declared.
func (x *index) checkService(key model.Key, route *model.Route) []violation {
	var out []violation
	for _, name := range route.Destinations() {
		if _, ok := x.services[name]; ok {
			continue
		}
		blamed := []model.Key{key, model.TeamKey(name.Team())}
		out = append(out, newViolation(routeLocation(key, route, ".service"), blamed, "service %q is not declared", name))
	}
	return out
}

// checkPath returns a violation if the path of the route is not a prefix.
func checkPath(key model.Key, route *model.Route) []violation {
	if err := model.CheckPathPrefix(route.PathPrefix); err != nil {
		return []violation{newViolation(routeLocation(key, route, ".path"), []model.Key{key}, "%v", err)}
	}
	return nil
}

// checkGrant returns a violation for each host and path of the route that lies
// outside the team's grant.
func checkGrant(key model.Key, route *model.Route, grant *model.Grant) []violation {
	blamed := []model.Key{key, model.RootKey}
	var out []violation
	for _, host := range route.Hosts {
		if !slices.Contains(grant.Hosts, host) {
			out = append(out, newViolation(routeLocation(key, route, ".hosts"), blamed,
				"host %q is not granted to team %q", host, grant.Team))
		}
	}
	within := func(granted string) bool { return strings.HasPrefix(route.PathPrefix, granted) }
	if !slices.ContainsFunc(grant.PathPrefixes, within) {
		out = append(out, newViolation(routeLocation(key, route, ".path"), blamed,
			"path %q is not granted to team %q", route.PathPrefix, grant.Team))
	}
	return out
}

// checkClaims returns a violation for each route of another team that matches the
// same requests. The resolved route lists all hosts that it matches.
func (x *index) checkClaims(key model.Key, route, resolved *model.Route) []violation {
	var out []violation
	methods := methodsOf(route)
	for _, host := range resolved.Hosts {
		for _, other := range x.claims[claim{host, route.PathPrefix}] {
			if other.key == key || other.methods&methods == 0 {
				continue
			}
			out = append(out, newViolation(routeLocation(key, route, ""), blamedForConflict(key, route, other),
				"claims %s%s like route %q of %s", host, route.PathPrefix, other.route.Name, other.key))
		}
	}
	return out
}

// blamedForConflict returns the keys of both routes, and the root's key if either
// route takes its hosts from its team's grant.
func blamedForConflict(key model.Key, route *model.Route, other claimant) []model.Key {
	blamed := []model.Key{key, other.key}
	if len(route.Hosts) == 0 || len(other.route.Hosts) == 0 {
		blamed = append(blamed, model.RootKey)
	}
	return blamed
}
