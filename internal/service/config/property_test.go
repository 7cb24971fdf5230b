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

// The seed is fixed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// documents holds the versions that operators publish for each key. The first
// versions of all keys are valid together. With few versions a value often changes
// back to an earlier one.
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
		format("team: %[1]s\nservices: {s: {}, t: {}}\nroutes: {r: {service: %[2]s/s, path: /%[1]s/}, q: {service: s, path: /q%[1]s/}}"),
		format("team: %[1]s\nservices: {s: {slots: 2}, u: {}}\nroutes: {r: {service: s, path: /%[1]s/}}"),
		format("team: %[1]s\nservices: {t: {}}\nroutes: {r: {service: %[2]s/t, path: /%[1]s/}}"),
		format("team: %[1]s\nservices: {s: {}}\nroutes: {r: {service: %[2]s/u, path: /p/}}"),
		format("team: %[1]s\nservices: {s: {slots: none}}"),
	}
}

// network is a set of nodes whose messages are delayed, lost, repeated and corrupted.
type network struct {
	t        *rapid.T
	platform history.History
	nodes    []*node
	// deltas are all responses sent so far; any may be delivered to any node.
	deltas []replicate.Delta
}

// TestNodesConverge delivers cuts and deltas in any order, with loss, repetition,
// corruption and restarts. After every step the node's cut must equal the platform's
// cut of that revision, every route must refer to a declared service, and no revision
// may decrease. Once all nodes know the last cut, whose documents are valid, all must
// run the subtrees of that cut.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &network{t: t}
		for range rapid.IntRange(2, 4).Draw(t, "nodes") {
			m.nodes = append(m.nodes, startNode())
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.step()
		}
		for _, key := range keys {
			m.platform.Publish(key, documents[key][0])
		}
		m.converge()
	})
}

func (m *network) step() {
	t := m.t
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	n := m.nodes[i]
	switch rapid.SampledFrom([]string{"publish", "publish", "read", "poll", "poll", "compare", "deliver", "deliver", "restart"}).Draw(t, "step") {
	case "publish":
		m.publish()
	case "read":
		revision := rapid.IntRange(0, int(m.platform.Revision())).Draw(t, "revision")
		m.checked(n, func() { n.handle(control.CutReceived{Cut: m.platform.Cut(model.Revision(revision))}) })
	case "poll":
		delta := n.poll(m.peer())
		if rapid.IntRange(0, 4).Draw(t, "corrupted") == 0 {
			delta = corrupted(t, delta)
		}
		m.deltas = append(m.deltas, delta)
	case "compare":
		m.deltas = append(m.deltas, n.compare(m.peer()))
	case "deliver":
		if len(m.deltas) > 0 {
			delta := m.deltas[rapid.IntRange(0, len(m.deltas)-1).Draw(t, "delta")]
			m.checked(n, func() { n.receive(delta) })
		}
	case "restart":
		m.restart(i)
	}
}

func (m *network) peer() *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "peer")]
}

func (m *network) publish() {
	key := rapid.SampledFrom(keys).Draw(m.t, "key")
	if rapid.IntRange(0, 7).Draw(m.t, "removed") == 0 {
		m.platform.Remove(key)
		return
	}
	m.platform.Publish(key, rapid.SampledFrom(documents[key]).Draw(m.t, "document"))
}

// restart replaces a node with a new process, which either bootstraps from a peer or
// receives nothing during its bootstrap time.
func (m *network) restart(i int) {
	peer := m.peer()
	delta := replicate.Bootstrap(peer.configuration())
	running := peer.configuration()
	n := startNode()
	m.nodes[i] = n
	if rapid.Bool().Draw(m.t, "alone") {
		n.advance(bootstrapFor)
		return
	}
	n.receive(delta)
	if running.Cut.Revision > 0 {
		m.require(checkMonotonic(running, n.configuration()))
		m.require(checkCut(n.configuration(), &m.platform))
	}
}

// checked runs an event of one node and verifies the invariants.
func (m *network) checked(n *node, event func()) {
	before := n.configuration()
	event()
	m.require(checkCut(n.configuration(), &m.platform))
	m.require(checkMonotonic(before, n.configuration()))
}

func (m *network) require(err error) {
	if err != nil {
		m.t.Fatal(err)
	}
}

// corrupted returns the delta without one subtree, or with a changed leaf value.
func corrupted(t *rapid.T, delta replicate.Delta) replicate.Delta {
	if len(delta.Subtrees) == 0 {
		return delta
	}
	i := rapid.IntRange(0, len(delta.Subtrees)-1).Draw(t, "subtree")
	subtrees := append([]replicate.SubtreeDelta(nil), delta.Subtrees...)
	if leaves := subtrees[i].Subtree.Leaves; len(leaves) > 0 && rapid.Bool().Draw(t, "corrupt leaf") {
		leaves = append([]model.Leaf(nil), leaves...)
		leaves[0].Value = []byte(`{}`)
		subtrees[i].Subtree.Leaves = leaves
	} else {
		subtrees = append(subtrees[:i], subtrees[i+1:]...)
	}
	delta.Subtrees = subtrees
	return delta
}

// maxPolls is the number of polls after which a node knows the last cut: one for the
// delta, one for whole subtrees and one for the complete cut.
const maxPolls = 3

// converge lets one node read the platform and all nodes poll it, and checks that
// all run the last cut.
func (m *network) converge() {
	for _, n := range m.nodes {
		n.advance(bootstrapFor)
	}
	first := m.nodes[0]
	m.checked(first, func() { first.handle(control.CutReceived{Cut: m.platform.Cut(m.platform.Revision())}) })
	for i, n := range m.nodes {
		for range maxPolls {
			m.checked(n, func() { n.receive(n.poll(first)) })
		}
		c := n.configuration()
		if c.Cut.Revision != m.platform.Revision() {
			m.t.Fatalf("node %d knows revision %d, want %d", i, c.Cut.Revision, m.platform.Revision())
		}
		if len(c.Held) > 0 {
			m.t.Fatalf("node %d holds back %v", i, c.Held)
		}
		for _, key := range keys {
			if c.Running[key].Revision != c.Cut.Subtrees[key].Revision {
				m.t.Fatalf("node %d runs %s@%d, not the revision of its cut", i, key, c.Running[key].Revision)
			}
		}
	}
}
