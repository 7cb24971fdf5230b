package accept

import (
	"maps"
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// decodedSubtree is a subtree with its declarations.
type decodedSubtree struct {
	subtree      *model.Subtree
	declarations *model.Declarations
	// decodeErr is the error of decoding the leaves; declarations is empty then.
	decodeErr error
}

func decodeSubtree(subtree *model.Subtree, decode Decoder) *decodedSubtree {
	declarations, err := decode(subtree)
	if err != nil {
		return &decodedSubtree{subtree: subtree, declarations: &model.Declarations{}, decodeErr: err}
	}
	return &decodedSubtree{subtree: subtree, declarations: declarations}
}

// index is a composition of subtrees that is cheap to change: the cost of replacing
// a subtree is proportional to its size, and only dirty subtrees are checked again.
type index struct {
	subtrees map[model.Key]*decodedSubtree
	services map[model.ServiceName]*model.Service
	// referrers counts, for each service and subtree, the references of the
	// subtree's routes to the service.
	referrers map[model.ServiceName]map[model.Key]int
	grants    map[model.TeamName]*model.Grant
	claims    map[claim][]claimant
	// routes holds the routes of each subtree, in the order of its declarations, with
	// all hosts that they match.
	routes map[model.Key][]*model.Route
	// evacuated holds the evacuations by failure domain.
	evacuated map[model.FailureDomain]*model.Evacuation
	// dirty holds the subtrees whose violations may have changed since the last
	// check, openViolations the violations that the last check found, by subtree.
	dirty          map[model.Key]struct{}
	openViolations map[model.Key][]violation
}

func newIndex() *index {
	return &index{
		subtrees:       map[model.Key]*decodedSubtree{},
		services:       map[model.ServiceName]*model.Service{},
		referrers:      map[model.ServiceName]map[model.Key]int{},
		grants:         map[model.TeamName]*model.Grant{},
		claims:         map[claim][]claimant{},
		routes:         map[model.Key][]*model.Route{},
		evacuated:      map[model.FailureDomain]*model.Evacuation{},
		dirty:          map[model.Key]struct{}{},
		openViolations: map[model.Key][]violation{},
	}
}

// replace replaces the subtree of the key by next; nil removes it.
func (x *index) replace(key model.Key, next *decodedSubtree) {
	previous := x.subtrees[key]
	x.dirty[key] = struct{}{}
	if previous != nil {
		x.removeClaims(key)
		x.removeReferences(key, previous)
		delete(x.subtrees, key)
	}
	if next != nil {
		x.subtrees[key] = next
		x.addReferences(key, next)
		x.addClaims(key)
	}
	x.replaceServices(previous.services(), next.services())
	x.replaceEvacuation(key, next)
	if key == model.RootKey {
		x.replaceGrants(next)
	}
}

// services returns none if d is nil.
func (d *decodedSubtree) services() []*model.Service {
	if d == nil {
		return nil
	}
	return d.declarations.Services
}

// replaceServices replaces the services of a subtree. It marks the subtrees that refer
// to an added or removed service as dirty.
func (x *index) replaceServices(previous, next []*model.Service) {
	for _, service := range previous {
		delete(x.services, service.Name)
	}
	for _, service := range next {
		x.services[service.Name] = service
	}
	declared := make(map[model.ServiceName]int, len(next))
	for _, service := range previous {
		declared[service.Name]++
	}
	for _, service := range next {
		declared[service.Name]++
	}
	for name, count := range declared {
		if count == 1 { // in only one of previous and next
			x.markReferrers(name)
		}
	}
}

// markReferrers marks the subtrees that refer to the service as dirty.
func (x *index) markReferrers(service model.ServiceName) {
	for key := range x.referrers[service] {
		x.dirty[key] = struct{}{}
	}
}

func (x *index) addReferences(key model.Key, d *decodedSubtree) {
	for _, route := range d.declarations.Routes {
		for _, name := range route.Destinations() {
			if x.referrers[name] == nil {
				x.referrers[name] = map[model.Key]int{}
			}
			x.referrers[name][key]++
		}
	}
}

func (x *index) removeReferences(key model.Key, d *decodedSubtree) {
	for _, route := range d.declarations.Routes {
		for _, name := range route.Destinations() {
			referrers := x.referrers[name]
			referrers[key]--
			if referrers[key] == 0 {
				delete(referrers, key)
			}
			if len(referrers) == 0 {
				delete(x.referrers, name)
			}
		}
	}
}

// replaceGrants replaces the grants by those of the root, which may be nil, and
// recomputes the claims of the teams whose grant changed.
func (x *index) replaceGrants(root *decodedSubtree) {
	next := map[model.TeamName]*model.Grant{}
	if root != nil {
		for _, grant := range root.declarations.Grants {
			next[grant.Team] = grant
		}
	}
	teams := maps.Clone(x.grants)
	maps.Copy(teams, next)
	previous := x.grants
	for team := range teams {
		if sameGrant(previous[team], next[team]) {
			continue
		}
		key := model.TeamKey(team)
		x.dirty[key] = struct{}{}
		x.removeClaims(key)
	}
	x.grants = next
	for team := range teams {
		if !sameGrant(previous[team], next[team]) {
			x.addClaims(model.TeamKey(team))
		}
	}
}

func sameGrant(a, b *model.Grant) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.Equal(a.Hosts, b.Hosts) && slices.Equal(a.PathPrefixes, b.PathPrefixes)
}

// tree returns the composition in the form that the data plane uses.
func (x *index) tree() *model.Tree {
	tree := &model.Tree{Services: maps.Clone(x.services), Evacuated: maps.Clone(x.evacuated)}
	count := 0
	for _, routes := range x.routes {
		count += len(routes)
	}
	tree.Routes = make([]*model.Route, 0, count)
	for _, key := range slices.Sorted(maps.Keys(x.routes)) {
		tree.Routes = append(tree.Routes, x.routes[key]...)
	}
	return tree
}
