package config

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/history"
)

// The seed is fixed; -rapid.seed on the command line takes another.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// documents are the versions that operators publish; the first of each key are
// acceptable together. Few versions make a value change back often.
var documents = map[model.Key][]string{
	model.RootKey: {
		"teams: {a: {hosts: [h]}, b: {hosts: [h]}, c: {hosts: [h]}}",
		"teams: {a: {hosts: [h]}, b: {hosts: [h]}}",
		"teams: {a: {hosts: [h]}, c: {hosts: [h, g]}, c: {}}",
	},
	"teams/a": teamDocuments("a", "b"),
	"teams/b": teamDocuments("b", "c"),
	"teams/c": teamDocuments("c", "a"),
}

var keys = []model.Key{model.RootKey, "teams/a", "teams/b", "teams/c"}

func teamDocuments(team, other string) []string {
	format := func(f string) string { return fmt.Sprintf(f, team, other) }
	return []string{
		format("team: %[1]s\nservices: {s: {}, t: {}}\nroutes: {r: {service: %[2]s/s, path: /%[1]s}, q: {service: s, path: /q%[1]s}}"),
		format("team: %[1]s\nservices: {s: {slots: 2}, u: {}}\nroutes: {r: {service: s, path: /%[1]s}}"),
		format("team: %[1]s\nservices: {t: {}}\nroutes: {r: {service: %[2]s/t, path: /%[1]s}}"),
		format("team: %[1]s\nservices: {s: {}}\nroutes: {r: {service: %[2]s/u, path: /p}}"),
		format("team: %[1]s\nservices: {s: {slots: none}}"),
	}
}

// mesh is a set of nodes whose messages are late, lost, repeated and damaged.
type mesh struct {
	t       *rapid.T
	tree    history.History
	nodes   []*node
	answers []replicate.Delta
}

// TestAllNodesSettle delivers cuts and deltas in any order, with loss,
// repetition, damage and restarts. At every step each node's knowledge is what
// the platform held, its tree is closed and nothing goes back. Once all nodes
// know the last cut, whose documents are acceptable, they run the same.
func TestAllNodesSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &mesh{t: t}
		for range rapid.IntRange(2, 4).Draw(t, "nodes") {
			m.nodes = append(m.nodes, startNode())
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.step()
		}
		for _, key := range keys {
			m.tree.Publish(key, documents[key][0])
		}
		m.settle()
	})
}

func (m *mesh) step() {
	t := m.t
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	n := m.nodes[i]
	switch rapid.SampledFrom([]string{"publish", "publish", "read", "ask", "ask", "compare", "deliver", "deliver", "restart"}).Draw(t, "step") {
	case "publish":
		m.publish()
	case "read":
		revision := rapid.IntRange(0, int(m.tree.Revision())).Draw(t, "revision")
		m.on(n, func() { n.handle(control.CutReceived{Cut: m.tree.Cut(model.Revision(revision))}) })
	case "ask":
		answer := n.poll(m.peer())
		if rapid.IntRange(0, 4).Draw(t, "damaged") == 0 {
			answer = damaged(t, answer)
		}
		m.answers = append(m.answers, answer)
	case "compare":
		m.answers = append(m.answers, n.compare(m.peer()))
	case "deliver":
		if len(m.answers) > 0 {
			answer := m.answers[rapid.IntRange(0, len(m.answers)-1).Draw(t, "answer")]
			m.on(n, func() { n.receive(answer) })
		}
	case "restart":
		m.restart(i)
	}
}

func (m *mesh) peer() *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "peer")]
}

func (m *mesh) publish() {
	key := rapid.SampledFrom(keys).Draw(m.t, "key")
	if rapid.IntRange(0, 7).Draw(m.t, "removed") == 0 {
		m.tree.Remove(key)
		return
	}
	m.tree.Publish(key, rapid.SampledFrom(documents[key]).Draw(m.t, "document"))
}

// restart puts a fresh process in the place of a node. It hears a peer first, or
// its bootstrap time ends.
func (m *mesh) restart(i int) {
	peer := m.peer()
	answer := replicate.Bootstrap(peer.configuration())
	running := peer.configuration()
	n := startNode()
	m.nodes[i] = n
	if rapid.Bool().Draw(m.t, "alone") {
		n.advance(bootstrapFor)
		return
	}
	n.receive(answer)
	if running.Cut.Revision > 0 {
		m.require(checkMonotone(running, n.configuration()))
		m.require(checkKnowledge(n.configuration(), &m.tree))
	}
}

// on runs an event of one node and verifies the invariants.
func (m *mesh) on(n *node, event func()) {
	before := n.configuration()
	event()
	m.require(checkKnowledge(n.configuration(), &m.tree))
	m.require(checkMonotone(before, n.configuration()))
}

func (m *mesh) require(err error) {
	if err != nil {
		m.t.Fatal(err)
	}
}

// damaged loses a subtree, or spoils a leaf of one.
func damaged(t *rapid.T, answer replicate.Delta) replicate.Delta {
	if len(answer.Subtrees) == 0 {
		return answer
	}
	i := rapid.IntRange(0, len(answer.Subtrees)-1).Draw(t, "subtree")
	subtrees := append([]replicate.SubtreeDelta(nil), answer.Subtrees...)
	if leaves := subtrees[i].Subtree.Leaves; len(leaves) > 0 && rapid.Bool().Draw(t, "spoil") {
		leaves = append([]model.Leaf(nil), leaves...)
		leaves[0].Value = []byte(`{}`)
		subtrees[i].Subtree.Leaves = leaves
	} else {
		subtrees = append(subtrees[:i], subtrees[i+1:]...)
	}
	answer.Subtrees = subtrees
	return answer
}

// maxPolls is how often a node polls until it knows the last cut: once, once
// more for whole subtrees, and once for the complete cut.
const maxPolls = 3

// settle lets one node read the platform and the others poll it, then compares
// what they run.
func (m *mesh) settle() {
	for _, n := range m.nodes {
		n.advance(bootstrapFor)
	}
	first := m.nodes[0]
	m.on(first, func() { first.handle(control.CutReceived{Cut: m.tree.Cut(m.tree.Revision())}) })
	for i, n := range m.nodes {
		for range maxPolls {
			m.on(n, func() { n.receive(n.poll(first)) })
		}
		c := n.configuration()
		if c.Cut.Revision != m.tree.Revision() {
			m.t.Fatalf("node %d knows revision %d of %d", i, c.Cut.Revision, m.tree.Revision())
		}
		if len(c.Held) > 0 {
			m.t.Fatalf("node %d holds %v", i, c.Held)
		}
		for _, key := range keys {
			if c.Running[key].Revision != c.Cut.Subtrees[key].Revision {
				m.t.Fatalf("node %d runs %s@%d", i, key, c.Running[key].Revision)
			}
		}
	}
}
