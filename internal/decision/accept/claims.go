package accept

import (
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// claim is a host and a path prefix that a route matches.
type claim struct{ host, path string }

// claimant is a route that makes a claim, its subtree's key and the methods that the
// route matches.
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

// methodsOf returns the methods of a route. A route without methods, or with an
// unknown one, matches all methods.
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
// and records their claims.
func (x *index) addClaims(key model.Key) {
	d := x.subtrees[key]
	if d == nil || len(d.declarations.Routes) == 0 {
		return
	}
	team, _ := key.Team()
	routes := make([]*model.Route, 0, len(d.declarations.Routes))
	for _, route := range d.declarations.Routes {
		routes = append(routes, resolveHosts(route, x.grants[team]))
	}
	x.routes[key] = routes
	for i, route := range routes {
		added := claimant{key: key, route: d.declarations.Routes[i], methods: methodsOf(route)}
		for _, host := range route.Hosts {
			x.addClaim(claim{host, route.PathPrefix}, added)
		}
	}
}

// resolveHosts returns the route with all hosts that it matches: a route without
// hosts matches every host of the grant.
func resolveHosts(route *model.Route, grant *model.Grant) *model.Route {
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

// addClaim adds a claim and marks the other claimants as dirty, since they may now
// conflict.
func (x *index) addClaim(c claim, added claimant) {
	x.markClaimants(x.claims[c])
	x.claims[c] = append(x.claims[c], added)
}

// removeClaim removes a claim of the key and marks the remaining claimants as dirty,
// since their conflict may be resolved.
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
