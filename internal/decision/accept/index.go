package accept

import (
	"maps"
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// part is one decoded subtree.
type part struct {
	subtree      *model.Subtree
	declarations *model.Declarations
	// fault tells why the leaves cannot be decoded.
	fault error
}

func newPart(subtree *model.Subtree, decode Decoder) *part {
	declarations, err := decode(subtree)
	if err != nil {
		return &part{subtree: subtree, declarations: &model.Declarations{}, fault: err}
	}
	return &part{subtree: subtree, declarations: declarations}
}

// index is a composition of subtrees that is cheap to change: replacing one
// subtree costs in proportion to its size, and only the violations of dirty
// subtrees are searched again.
type index struct {
	parts    map[model.Key]*part
	services map[model.ServiceName]*model.Service
	// users counts, for each service, the routes of each subtree that name it.
	users  map[model.ServiceName]map[model.Key]int
	grants map[model.TeamName]*model.Grant
	claims map[claim][]claimant
	// routes holds the routes of each subtree with the hosts that they match.
	routes map[model.Key][]*model.Route
	// dirty are the subtrees whose violations may have changed since the last
	// search, open the violations found until then.
	dirty map[model.Key]struct{}
	open  map[model.Key][]violation
}

func newIndex() *index {
	return &index{
		parts:    map[model.Key]*part{},
		services: map[model.ServiceName]*model.Service{},
		users:    map[model.ServiceName]map[model.Key]int{},
		grants:   map[model.TeamName]*model.Grant{},
		claims:   map[claim][]claimant{},
		routes:   map[model.Key][]*model.Route{},
		dirty:    map[model.Key]struct{}{},
		open:     map[model.Key][]violation{},
	}
}

// replace puts next in the place of the subtree with the key; nil removes it.
func (x *index) replace(key model.Key, next *part) {
	previous := x.parts[key]
	x.dirty[key] = struct{}{}
	if previous != nil {
		x.removeClaims(key)
		x.removeUses(key, previous)
		delete(x.parts, key)
	}
	if next != nil {
		x.parts[key] = next
		x.addUses(key, next)
		x.addClaims(key)
	}
	x.replaceServices(previous.services(), next.services())
	if key == model.RootKey {
		x.replaceGrants(next)
	}
}

func (p *part) services() []*model.Service {
	if p == nil {
		return nil
	}
	return p.declarations.Services
}

// replaceServices marks the users of services that appear or disappear.
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
	for name, versions := range declared {
		if versions == 1 {
			x.markUsers(name)
		}
	}
}

func (x *index) markUsers(service model.ServiceName) {
	for user := range x.users[service] {
		x.dirty[user] = struct{}{}
	}
}

func (x *index) addUses(key model.Key, p *part) {
	for _, route := range p.declarations.Routes {
		for _, name := range route.Destinations() {
			if x.users[name] == nil {
				x.users[name] = map[model.Key]int{}
			}
			x.users[name][key]++
		}
	}
}

func (x *index) removeUses(key model.Key, p *part) {
	for _, route := range p.declarations.Routes {
		for _, name := range route.Destinations() {
			users := x.users[name]
			users[key]--
			if users[key] == 0 {
				delete(users, key)
			}
			if len(users) == 0 {
				delete(x.users, name)
			}
		}
	}
}

// replaceGrants takes over the grants of the root, which may be nil, and
// renews the claims of the teams whose grant changed.
func (x *index) replaceGrants(root *part) {
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

// tree returns the composition as the data plane uses it.
func (x *index) tree() *model.Tree {
	tree := &model.Tree{Services: maps.Clone(x.services)}
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
