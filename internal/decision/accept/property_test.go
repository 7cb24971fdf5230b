package accept_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/accept"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/history"
)

// The seed is fixed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var (
	teams        = []string{"a", "b", "c", "d"}
	serviceNames = []string{"x", "y"}
	hosts        = []string{"h", "g"}
)

// drawRoot returns a random root document, which grants nothing to some of the teams.
func drawRoot(t *rapid.T) string {
	var b strings.Builder
	b.WriteString("teams:\n")
	for _, team := range teams {
		if rapid.IntRange(0, 9).Draw(t, "granted") > 0 {
			fmt.Fprintf(&b, "  %s: {hosts: [%s], paths: [/]}\n", team, strings.Join(hosts[:rapid.IntRange(1, 2).Draw(t, "hosts")], ", "))
		}
	}
	return b.String()
}

// drawTeam returns a random document of a team. Its routes may refer to undeclared
// services and may conflict with those of other teams.
func drawTeam(t *rapid.T, team string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "team: %s\nservices: {", team)
	for _, name := range serviceNames {
		if rapid.IntRange(0, 3).Draw(t, "declared") > 0 {
			fmt.Fprintf(&b, "%s: {}, ", name)
		}
	}
	b.WriteString("}\nroutes: {")
	for i := range rapid.IntRange(0, 3).Draw(t, "routes") {
		fmt.Fprintf(&b, "r%d: {service: %s/%s, path: /%s%d", i, rapid.SampledFrom(teams).Draw(t, "team"),
			rapid.SampledFrom(serviceNames).Draw(t, "service"), rapid.SampledFrom([]string{team, team, team, "p"}).Draw(t, "path"), i)
		if rapid.Bool().Draw(t, "any host") {
			b.WriteString("}, ")
		} else {
			fmt.Fprintf(&b, ", hosts: [%s]}, ", rapid.SampledFrom(hosts).Draw(t, "host"))
		}
	}
	b.WriteString("}")
	return b.String()
}

// drawChange publishes or removes a random document.
func drawChange(t *rapid.T, tree *history.History) {
	team := rapid.SampledFrom(append([]string{""}, teams...)).Draw(t, "changed")
	key := model.TeamKey(model.TeamName(team))
	if team == "" {
		key = model.RootKey
	}
	switch {
	case rapid.IntRange(0, 7).Draw(t, "remove") == 0:
		tree.Remove(key)
	case key == model.RootKey:
		tree.Publish(key, drawRoot(t))
	default:
		tree.Publish(key, drawTeam(t, team))
	}
}

// TestEveryStepIsClosedAndMonotone moves a node through random cuts of a random
// history. Each configuration must be closed, must not go back to an older
// revision, and must equal the result of a new acceptor with the same running
// subtrees and cut.
func TestEveryStepIsClosedAndMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tree history.History
		acceptor := accept.New(document.Decode)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				drawChange(t, &tree)
			}
			cut := tree.Cut(model.Revision(rapid.IntRange(0, int(tree.Revision())).Draw(t, "revision")))
			before := acceptor.Current()
			after := acceptor.Accept(cut)
			checkClosed(t, after)
			checkMonotone(t, before, after)
			if after == before {
				continue
			}
			fromScratch, err := accept.Accept(document.Decode, before.Running, cut)
			if err != nil {
				t.Fatal(err)
			}
			if describe(fromScratch) != describe(after) {
				t.Fatalf("incremental:\n%s\nfrom scratch:\n%s", describe(after), describe(fromScratch))
			}
		}
	})
}

// checkMonotone verifies that the cut and every running subtree are at least as new as
// before. A subtree may stop running only if the cut no longer has its key.
func checkMonotone(t *rapid.T, before, after *model.Configuration) {
	if after.Cut.Revision < before.Cut.Revision {
		t.Fatalf("cut went from %d to %d", before.Cut.Revision, after.Cut.Revision)
	}
	for key, subtree := range before.Running {
		next := after.Running[key]
		if next == nil && after.Cut.Subtrees[key] != nil {
			t.Fatalf("%s@%d is no longer running but in the cut", key, subtree.Revision)
		}
		if next != nil && next.Revision < subtree.Revision {
			t.Fatalf("%s went from %d to %d", key, subtree.Revision, next.Revision)
		}
	}
}
