package accept_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/galenalever/galenalever/internal/decision/accept"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/history"
)

// The numbers of teams and services of a mesh of the target size.
const (
	benchTeams    = 300
	benchServices = 3400
)

// teamText returns a team's document with its share of the services, each with a
// read route to the service and a write route to the next team's service.
func teamText(team, slots int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "team: t%d\nservices:\n", team)
	for s := team; s < benchServices; s += benchTeams {
		fmt.Fprintf(&b, "  s%d: {slots: %d}\n", s, slots)
	}
	b.WriteString("routes:\n")
	for s := team; s < benchServices; s += benchTeams {
		fmt.Fprintf(&b, "  r%d: {service: s%d, path: /s%d/, methods: [GET], idempotent: true}\n", s, s, s)
		next := (s + 1) % benchServices
		fmt.Fprintf(&b, "  w%d: {service: t%d/s%d, path: /s%d/, methods: [POST]}\n", s, next%benchTeams, next, s)
	}
	return b.String()
}

// benchTree publishes the root and one document for each team. Each team has routes
// to services of the next team, so all teams depend on each other.
func benchTree() *history.History {
	tree := &history.History{}
	var root strings.Builder
	root.WriteString("teams:\n")
	for team := range benchTeams {
		fmt.Fprintf(&root, "  t%d: {hosts: [t%d.example]}\n", team, team)
	}
	tree.Publish(model.RootKey, root.String())
	for team := range benchTeams {
		tree.Publish(model.TeamKey(model.TeamName(fmt.Sprintf("t%d", team))), teamText(team, 6))
	}
	return tree
}

// BenchmarkOneLeaf accepts a new version of one team's document, which changes all
// services of the team, among 3,400 services of 300 teams.
func BenchmarkOneLeaf(b *testing.B) {
	tree := benchTree()
	cut := tree.Cut(tree.Revision())
	acceptor := accept.New(document.Decode)
	if c := acceptor.Accept(cut); len(c.Held) > 0 || len(c.Tree.Services) != benchServices {
		b.Fatalf("%d held, %d services", len(c.Held), len(c.Tree.Services))
	}
	versions := [2]*model.Subtree{}
	for i := range versions {
		versions[i] = document.NewSubtree("teams/t7", 1, []byte(teamText(7, 7+i)), false)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		next := *versions[n%2]
		next.Revision = cut.Revision + 1
		cut = model.Cut{Revision: next.Revision, Subtrees: maps.Clone(cut.Subtrees)}
		cut.Subtrees[next.Key] = &next
		acceptor.Accept(cut)
	}
}

// BenchmarkColdStart accepts the whole tree on a node with an empty configuration.
func BenchmarkColdStart(b *testing.B) {
	tree := benchTree()
	cut := tree.Cut(tree.Revision())
	b.ReportAllocs()
	for b.Loop() {
		accept.New(document.Decode).Accept(cut)
	}
}

// BenchmarkColdStartWithAFault is the worst case for holding subtrees back: one
// team's document is missing, and all others depend on it directly or indirectly.
func BenchmarkColdStartWithAFault(b *testing.B) {
	tree := benchTree()
	tree.Remove("teams/t150")
	cut := tree.Cut(tree.Revision())
	b.ReportAllocs()
	for b.Loop() {
		if c := accept.New(document.Decode).Accept(cut); len(c.Held) != benchTeams-1 {
			b.Fatalf("%d held", len(c.Held))
		}
	}
}
