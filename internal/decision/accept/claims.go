package accept

import (
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// claim is the host and path that a route matches.
type claim struct{ host, path string }

// claimant is a route that makes a claim for some methods.
type claimant struct {
	key     model.Key
	route   *model.Route
	methods methodSet
}

// methodSet is a set of HTTP methods, one bit each.
type methodSet uint16

const allMethods methodSet = 1<<16 - 1

var methodBits = map[string]methodSet{
	"GET": 1 << 0, "HEAD": 1 << 1, "POST": 1 << 2, "PUT": 1 << 3, "PATCH": 1 << 4,
	"DELETE": 1 << 5, "OPTIONS": 1 << 6, "CONNECT": 1 << 7, "TRACE": 1 << 8,
}

// methodsOf returns the methods of a route; none named, or an unknown one,
// means all.
func methodsOf(route *model.Route) methodSet {
	if len(route.Methods) == 0 {
		return allMethods
	}
	var set methodSet
	for _, method := range route.Methods {
		bit, ok := methodBits[method]
		if !ok {
			return allMethods
		}
		set |= bit
	}
	return set
}

// addClaims resolves the hosts of the subtree's routes against the team's grant
// and records what they claim.
func (x *index) addClaims(key model.Key) {
	p := x.parts[key]
	if p == nil || len(p.declarations.Routes) == 0 {
		return
	}
	team, _ := key.Team()
	routes := make([]*model.Route, 0, len(p.declarations.Routes))
	for _, route := range p.declarations.Routes {
		routes = append(routes, withHosts(route, x.grants[team]))
	}
	x.routes[key] = routes
	for i, route := range routes {
		own := claimant{key: key, route: p.declarations.Routes[i], methods: methodsOf(route)}
		for _, host := range route.Hosts {
			x.addClaim(claim{host, route.PathPrefix}, own)
		}
	}
}

// withHosts returns the route with the hosts that it matches spelled out.
func withHosts(route *model.Route, grant *model.Grant) *model.Route {
	if len(route.Hosts) > 0 || grant == nil {
		return route
	}
	resolved := *route
	resolved.Hosts = grant.Hosts
	return &resolved
}

func (x *index) removeClaims(key model.Key) {
	for _, route := range x.routes[key] {
		for _, host := range route.Hosts {
			x.removeClaim(claim{host, route.PathPrefix}, key)
		}
	}
	delete(x.routes, key)
}

// addClaim marks the other claimants, which may now be in conflict.
func (x *index) addClaim(c claim, own claimant) {
	x.markClaimants(x.claims[c])
	x.claims[c] = append(x.claims[c], own)
}

// removeClaim marks the other claimants, whose conflict may be over.
func (x *index) removeClaim(c claim, key model.Key) {
	rest := slices.DeleteFunc(x.claims[c], func(other claimant) bool { return other.key == key })
	x.markClaimants(rest)
	if len(rest) == 0 {
		delete(x.claims, c)
		return
	}
	x.claims[c] = rest
}

func (x *index) markClaimants(claimants []claimant) {
	for _, other := range claimants {
		x.dirty[other.key] = struct{}{}
	}
}
