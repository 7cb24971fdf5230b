package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/history"
)

// scenario runs one scenario file. Its commands are
//
//	start NODE                     starts a process, or replaces a running one
//	publish KEY, remove KEY        changes the platform's configuration
//	read NODE [revision=N]         reads the platform, or a stale copy of it
//	tear NODE key=KEY at=N         reads a cut that contains an old revision of a key
//	poll NODE from=NODE            polls a peer
//	bootstrap NODE from=NODE [offered=NODE]  delivers a peer's response to a bootstrap poll, with the
//	                               subtrees in that of a further peer
//	compare NODE from=NODE         compares the running subtrees with a peer's
//	send NAME from=NODE to=NODE    stores the peer's response to a poll as NAME
//	deliver NAME to=NODE           delivers the response NAME to a node, also late or again
//	damage NAME drop=KEY|leaf=PATH removes a subtree or changes a leaf value in NAME
//	advance DURATION               advances the clock of all nodes
//	show NODE                      prints the node's state
type scenario struct {
	platform history.History
	nodes    map[string]*node
	deltas   map[string]replicate.Delta
}

// TestScenarios runs the scenarios in testdata and verifies after each command that
// every node's cut equals the platform's cut of that revision and that no revision
// decreased.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{nodes: map[string]*node{}, deltas: map[string]replicate.Delta{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			before := map[string]*model.Configuration{}
			for name, n := range s.nodes {
				before[name] = n.configuration()
			}
			out := s.run(t, d)
			s.check(t, d, before)
			return out
		})
	})
}

// check verifies the invariants for every node. It runs after every command.
func (s *scenario) check(t *testing.T, d *datadriven.TestData, before map[string]*model.Configuration) {
	t.Helper()
	for name, n := range s.nodes {
		if err := checkCut(n.configuration(), &s.platform); err != nil {
			t.Fatalf("%s: node %s: %v", d.Pos, name, err)
		}
		if previous := before[name]; previous != nil && d.Cmd != "start" {
			if err := checkMonotonic(previous, n.configuration()); err != nil {
				t.Fatalf("%s: node %s: %v", d.Pos, name, err)
			}
		}
	}
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	subject := d.CmdArgs[0].Key
	var from, to string
	d.MaybeScanArgs(t, "from", &from)
	d.MaybeScanArgs(t, "to", &to)
	switch d.Cmd {
	case "start":
		s.nodes[subject] = startNode()
		return ""
	case "publish":
		return fmt.Sprintln("revision", s.platform.Publish(model.Key(subject), d.Input))
	case "remove":
		return fmt.Sprintln("revision", s.platform.Remove(model.Key(subject)))
	case "read":
		revision := int(s.platform.Revision())
		d.MaybeScanArgs(t, "revision", &revision)
		s.nodes[subject].handle(control.CutReceived{Cut: s.platform.Cut(model.Revision(revision))})
	case "tear":
		s.nodes[subject].handle(control.CutReceived{Cut: s.tornCut(t, d)})
	case "poll":
		s.nodes[subject].receive(s.nodes[subject].poll(s.nodes[from]))
	case "bootstrap":
		m := control.DeltaReceived{Delta: replicate.Bootstrap(s.nodes[from].configuration())}
		var offered string
		if d.MaybeScanArgs(t, "offered", &offered) {
			delta := replicate.Bootstrap(s.nodes[offered].configuration())
			m.Offered = [][]replicate.SubtreeDelta{slices.Concat(delta.Running, delta.Subtrees)}
		}
		s.nodes[subject].handle(m)
	case "compare":
		s.nodes[subject].receive(s.nodes[subject].compare(s.nodes[from]))
	case "send":
		s.deltas[subject] = s.nodes[to].poll(s.nodes[from])
		return fmt.Sprintln("revision", s.deltas[subject].Revision)
	case "deliver":
		s.nodes[to].receive(s.deltas[subject])
		subject = to
	case "damage":
		s.damage(t, d, subject)
		return ""
	case "advance":
		return s.advance(t, subject)
	case "show":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.nodes[subject].describe()
}

func (s *scenario) advance(t *testing.T, by string) string {
	passed, err := time.ParseDuration(by)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range s.nodes {
		n.advance(passed)
	}
	return ""
}

func (s *scenario) tornCut(t *testing.T, d *datadriven.TestData) model.Cut {
	var key string
	var at int
	d.ScanArgs(t, "key", &key)
	d.ScanArgs(t, "at", &at)
	cut := s.platform.Cut(s.platform.Revision())
	cut.Subtrees[model.Key(key)] = s.platform.Cut(model.Revision(at)).Subtrees[model.Key(key)]
	return cut
}

// damage changes a stored delta: it removes a subtree or changes the value of a
// leaf.
func (s *scenario) damage(t *testing.T, d *datadriven.TestData, name string) {
	var key, path string
	d.MaybeScanArgs(t, "drop", &key)
	d.MaybeScanArgs(t, "leaf", &path)
	delta := s.deltas[name]
	delta.Subtrees = slices.DeleteFunc(slices.Clone(delta.Subtrees), func(sd replicate.SubtreeDelta) bool {
		return sd.Subtree.Key == model.Key(key)
	})
	for i := range delta.Subtrees {
		leaves := slices.Clone(delta.Subtrees[i].Subtree.Leaves)
		for j := range leaves {
			if leaves[j].Path == path {
				leaves[j].Value = []byte(`{}`)
			}
		}
		delta.Subtrees[i].Subtree.Leaves = leaves
	}
	s.deltas[name] = delta
}
