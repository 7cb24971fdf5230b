package route_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// TestLookup runs testdata/lookup. A route is a line "name prefix service" with
// optional host=, methods=; a lookup is a line "METHOD host path".
func TestLookup(t *testing.T) {
	table := route.Empty()
	datadriven.RunTest(t, "testdata/lookup", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "routes":
			table = table.WithTree(parseTree(d.Input), func(model.ServiceName) []model.Member { return nil })
			return ""
		case "lookup":
			var b strings.Builder
			for line := range strings.Lines(d.Input) {
				b.WriteString(lookup(table, strings.Fields(line)) + "\n")
			}
			return b.String()
		default:
			d.Fatalf(t, "unknown command")
			return ""
		}
	})
}

func parseTree(input string) *model.Tree {
	tree := &model.Tree{Services: make(map[model.ServiceName]*model.Service)}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		r := &model.Route{Name: fields[0], PathPrefix: fields[1], Service: model.ServiceName(fields[2])}
		for _, field := range fields[3:] {
			key, value, _ := strings.Cut(field, "=")
			if key == "host" {
				r.Hosts = append(r.Hosts, value)
			} else {
				r.Methods = strings.Split(value, ",")
			}
		}
		tree.Services[r.Service] = &model.Service{Name: r.Service}
		tree.Routes = append(tree.Routes, r)
	}
	return tree
}

func lookup(table *route.Table, fields []string) string {
	host, path := route.CanonicalHost(fields[1]), fields[2]
	match := table.Lookup(host, path, fields[0], 0)
	switch match.Result {
	case route.Matched:
		return match.Route.Name + " -> " + string(match.Destination.Service.Name)
	case route.MethodNotAllowed:
		return "method not allowed: " + strings.Join(table.Methods(host, path), ",")
	default:
		return "no route"
	}
}

func member(name, service string, incarnation int) model.Member {
	return model.Member{
		ID: model.InstanceID(name), Service: model.ServiceName(service),
		Addresses: model.Addresses{Traffic: name + ":80"},
		Announced: model.Announcement{Incarnation: model.Incarnation(incarnation), Presence: model.PresenceReady},
	}
}

// TestIncrementalChangesMatchRebuild applies random changes of members and trees.
// Each table must equal the one built from scratch, have a destination for every
// route, leave the previous table unchanged and keep the endpoints that did not
// change.
func TestIncrementalChangesMatchRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make(map[model.ServiceName][]model.Member)
		of := func(name model.ServiceName) []model.Member { return members[name] }
		table, tree := route.Empty(), &model.Tree{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			before, described := table, describe(table, tree)
			if rapid.Bool().Draw(t, "change tree") {
				next := drawTree(t, tree)
				table = table.WithTree(next, of)
				checkRoutesResolve(t, table, next)
				if describe(before, tree) != described {
					t.Fatal("the previous table changed")
				}
				tree = next
			} else {
				name := drawService(t)
				members[name] = drawMembers(t, name)
				table = table.WithMembers(name, members[name])
			}
			if got, want := describe(table, tree), describe(route.Empty().WithTree(tree, of), tree); got != want {
				t.Fatalf("incremental:\n%s\nfrom scratch:\n%s", got, want)
			}
			checkReuse(t, before, table, tree)
		}
	})
}

var services = []string{"a/one", "a/two", "b/three"}

func drawService(t *rapid.T) model.ServiceName {
	return model.ServiceName(rapid.SampledFrom(services).Draw(t, "service"))
}

// drawTree returns a tree that shares some routes with the previous one.
func drawTree(t *rapid.T, before *model.Tree) *model.Tree {
	var lines []string
	for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
		prefix := rapid.SampledFrom([]string{"/", "/x", "/x/y", "/z/y"}).Draw(t, "prefix")
		lines = append(lines, fmt.Sprintf("r%d %s %s", i, prefix, drawService(t)))
	}
	tree := parseTree(strings.Join(lines, "\n"))
	for i := range min(len(before.Routes), len(tree.Routes)) {
		old := before.Routes[i]
		if rapid.Bool().Draw(t, "keep route") {
			tree.Routes[i] = old
			tree.Services[old.Service] = before.Services[old.Service]
		}
	}
	return tree
}

func drawMembers(t *rapid.T, service model.ServiceName) []model.Member {
	var members []model.Member
	for _, name := range []string{"m1", "m2", "m3"} {
		if rapid.Bool().Draw(t, name) {
			incarnation := rapid.IntRange(1, 2).Draw(t, "incarnation")
			members = append(members, member(name, string(service), incarnation))
		}
	}
	if len(members) > 0 && rapid.Bool().Draw(t, "leaving") {
		members[0].Announced.Presence = model.PresenceLeaving
	}
	return members
}

func checkRoutesResolve(t *rapid.T, table *route.Table, tree *model.Tree) {
	for _, r := range tree.Routes {
		match := table.Lookup("", r.PathPrefix, "GET", 0)
		if match.Result != route.Matched || match.Destination != table.Destination(match.Route.Service) {
			t.Fatalf("route %s does not lead to a destination of the table", r.Name)
		}
	}
}

// checkReuse verifies that equal endpoints keep their pointers.
func checkReuse(t *rapid.T, before, after *route.Table, tree *model.Tree) {
	for name := range tree.Services {
		old, current := before.Destination(name), after.Destination(name)
		if old == nil {
			continue
		}
		for _, e := range current.Endpoints {
			i := slices.IndexFunc(old.Endpoints, func(o *route.Endpoint) bool { return *o == *e })
			if i >= 0 && old.Endpoints[i] != e {
				t.Fatalf("endpoint %s was replaced by an equal one", e.ID.Instance)
			}
		}
	}
}

func describe(table *route.Table, tree *model.Tree) string {
	var lines []string
	for name := range tree.Services {
		line := string(name) + ":"
		for _, e := range table.Destination(name).Endpoints {
			line += fmt.Sprintf(" %s/%d", e.ID.Instance, e.ID.Incarnation)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	for _, r := range tree.Routes {
		lines = append(lines, lookup(table, []string{"GET", "", r.PathPrefix}))
	}
	return strings.Join(lines, "\n")
}
