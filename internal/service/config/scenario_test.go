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

// script runs one scenario file. Its commands are
//
//	start NODE                     a fresh process, also in place of a running one
//	publish KEY, remove KEY        a change of the platform
//	read NODE [revision=N]         the node reads the platform, maybe a stale copy
//	tear NODE key=KEY at=N         it reads a cut in which one key is an old copy
//	poll NODE from=NODE            the node polls a peer
//	compare NODE from=NODE         it compares what it runs with a peer
//	send NAME from=NODE to=NODE    the peer's answer stays under way as NAME
//	deliver NAME to=NODE           it arrives, maybe late, again or elsewhere
//	damage NAME drop=KEY|leaf=PATH a fault on the way
//	advance DURATION               time passes for all nodes
//	show NODE
type script struct {
	tree    history.History
	nodes   map[string]*node
	answers map[string]replicate.Delta
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &script{nodes: map[string]*node{}, answers: map[string]replicate.Delta{}}
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

// check applies the invariants to every node after every command.
func (s *script) check(t *testing.T, d *datadriven.TestData, before map[string]*model.Configuration) {
	t.Helper()
	for name, n := range s.nodes {
		if err := checkKnowledge(n.configuration(), &s.tree); err != nil {
			t.Fatalf("%s: node %s: %v", d.Pos, name, err)
		}
		if previous := before[name]; previous != nil && d.Cmd != "start" {
			if err := checkMonotone(previous, n.configuration()); err != nil {
				t.Fatalf("%s: node %s: %v", d.Pos, name, err)
			}
		}
	}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	subject := d.CmdArgs[0].Key
	var from, to string
	d.MaybeScanArgs(t, "from", &from)
	d.MaybeScanArgs(t, "to", &to)
	switch d.Cmd {
	case "start":
		s.nodes[subject] = startNode()
		return ""
	case "publish":
		return fmt.Sprintln("revision", s.tree.Publish(model.Key(subject), d.Input))
	case "remove":
		return fmt.Sprintln("revision", s.tree.Remove(model.Key(subject)))
	case "read":
		revision := int(s.tree.Revision())
		d.MaybeScanArgs(t, "revision", &revision)
		s.nodes[subject].handle(control.CutReceived{Cut: s.tree.Cut(model.Revision(revision))})
	case "tear":
		s.nodes[subject].handle(control.CutReceived{Cut: s.tornCut(t, d)})
	case "poll":
		s.nodes[subject].receive(s.nodes[subject].poll(s.nodes[from]))
	case "bootstrap": // an answer to the question of a fresh process
		s.nodes[subject].receive(replicate.Bootstrap(s.nodes[from].configuration()))
	case "compare":
		s.nodes[subject].receive(s.nodes[subject].compare(s.nodes[from]))
	case "send":
		s.answers[subject] = s.nodes[to].poll(s.nodes[from])
		return fmt.Sprintln("revision", s.answers[subject].Revision)
	case "deliver":
		s.nodes[to].receive(s.answers[subject])
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

func (s *script) advance(t *testing.T, by string) string {
	passed, err := time.ParseDuration(by)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range s.nodes {
		n.advance(passed)
	}
	return ""
}

func (s *script) tornCut(t *testing.T, d *datadriven.TestData) model.Cut {
	var key string
	var at int
	d.ScanArgs(t, "key", &key)
	d.ScanArgs(t, "at", &at)
	cut := s.tree.Cut(s.tree.Revision())
	cut.Subtrees[model.Key(key)] = s.tree.Cut(model.Revision(at)).Subtrees[model.Key(key)]
	return cut
}

// damage changes an answer under way: a subtree is lost, or the value of a leaf
// is spoilt.
func (s *script) damage(t *testing.T, d *datadriven.TestData, name string) {
	var key, path string
	d.MaybeScanArgs(t, "drop", &key)
	d.MaybeScanArgs(t, "leaf", &path)
	answer := s.answers[name]
	answer.Subtrees = slices.DeleteFunc(slices.Clone(answer.Subtrees), func(sd replicate.SubtreeDelta) bool {
		return sd.Subtree.Key == model.Key(key)
	})
	for i := range answer.Subtrees {
		leaves := slices.Clone(answer.Subtrees[i].Subtree.Leaves)
		for j := range leaves {
			if leaves[j].Path == path {
				leaves[j].Value = []byte(`{}`)
			}
		}
		answer.Subtrees[i].Subtree.Leaves = leaves
	}
	s.answers[name] = answer
}
