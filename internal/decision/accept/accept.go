// Package accept decides which subtrees of a cut a node runs. The result is a
// function of the running subtrees and the cut: no I/O, no clock, no encoding.
//
// The composition of the running subtrees is always closed: every team has a
// grant, every claim lies within its team's grant, no two teams claim the same
// requests, and every route's service is declared. A changed subtree that would
// violate this is held back with findings; the others are accepted. An evacuation
// depends on no other subtree, so only a fault of its own holds it back.
package accept

import (
	"cmp"
	"maps"
	"slices"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// Decoder returns the declarations in a subtree's leaves.
type Decoder func(*model.Subtree) (*model.Declarations, error)

// Acceptor holds the running subtrees of one node, decoded and indexed, so that
// the cost of a new cut is proportional to the size of the change. It is not
// safe for concurrent use.
type Acceptor struct {
	decode  Decoder
	index   *index
	current *model.Configuration
	// held caches the decoded form of held subtrees until they change.
	held map[model.Key]*decodedSubtree
}

// New returns an acceptor with an empty configuration.
func New(decode Decoder) *Acceptor {
	return &Acceptor{
		decode: decode,
		index:  newIndex(),
		current: &model.Configuration{
			Running: map[model.Key]*model.Subtree{},
			Tree:    &model.Tree{Services: map[model.ServiceName]*model.Service{}},
		},
		held: map[model.Key]*decodedSubtree{},
	}
}

// Current returns the configuration that resulted from the last call of Adopt, Accept
// or Offer. It is never nil.
func (a *Acceptor) Current() *model.Configuration { return a.current }

// Adopt runs the running subtrees of a peer. It is meant for a process that has just
// started. If the acceptor already runs a subtree, or if the composition of running
// is not closed, it returns an error with all findings and changes nothing.
func (a *Acceptor) Adopt(running map[model.Key]*model.Subtree) error {
	var list findings.List
	if len(a.current.Running) > 0 {
		list.Addf(findings.Location{}, "a configuration is already running")
		return list.Err()
	}
	adopted := newIndex()
	for _, key := range slices.Sorted(maps.Keys(running)) {
		adopted.replace(key, a.decoded(running[key]))
	}
	for _, v := range adopted.violations() {
		list = append(list, v.finding)
	}
	if err := list.Err(); err != nil {
		return err
	}
	a.index = adopted
	a.current = &model.Configuration{Running: maps.Clone(running), Tree: adopted.tree()}
	return nil
}

// Accept moves to a newer cut and returns the resulting configuration. A cut that
// is not newer is ignored.
func (a *Acceptor) Accept(cut model.Cut) *model.Configuration {
	if cut.Revision > a.current.Cut.Revision {
		a.decide(cut)
	}
	return a.current
}

// decide makes the configuration that results from a cut the current one.
func (a *Acceptor) decide(cut model.Cut) {
	trial := newTrial(a.index, a.candidates(cut))
	trial.resolve()
	a.publish(cut, trial)
}

// Accept returns the configuration that results from a cut on a node with the
// given running subtrees. It returns an error if their composition is not closed.
func Accept(decode Decoder, running map[model.Key]*model.Subtree, cut model.Cut) (*model.Configuration, error) {
	acceptor := New(decode)
	if err := acceptor.Adopt(running); err != nil {
		return nil, err
	}
	return acceptor.Accept(cut), nil
}

// candidates returns the subtrees of cut that are newer than the running ones,
// oldest first. Rejected subtrees are left out. A running key that is missing in the
// cut counts as removed.
func (a *Acceptor) candidates(cut model.Cut) []*candidate {
	var out []*candidate
	for key, subtree := range cut.Subtrees {
		running := a.current.Running[key]
		if len(subtree.Rejected) > 0 || !subtree.NewerThan(running) {
			continue
		}
		if subtree.Removed && running == nil {
			continue
		}
		out = append(out, &candidate{key: key, subtree: subtree, next: a.decoded(subtree), previous: a.index.subtrees[key]})
	}
	for key, running := range a.current.Running {
		if _, ok := cut.Subtrees[key]; !ok && !running.Removed {
			tombstone := &model.Subtree{Key: key, Revision: cut.Revision, Removed: true}
			out = append(out, &candidate{key: key, subtree: tombstone, previous: a.index.subtrees[key]})
		}
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

// compareCandidates orders candidates by revision, then by key.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.subtree.Revision, b.subtree.Revision), cmp.Compare(a.key, b.key))
}

// decoded returns nil for a removed subtree.
func (a *Acceptor) decoded(subtree *model.Subtree) *decodedSubtree {
	if subtree.Removed {
		return nil
	}
	if cached := a.held[subtree.Key]; cached != nil && cached.subtree == subtree {
		return cached
	}
	return decodeSubtree(subtree, a.decode)
}

// publish makes the outcome of a trial the current configuration.
func (a *Acceptor) publish(cut model.Cut, trial *trial) {
	next := &model.Configuration{Cut: cut, Running: a.current.Running, Tree: a.current.Tree}
	a.held = map[model.Key]*decodedSubtree{}
	for _, c := range trial.candidates {
		if c.held {
			a.held[c.key] = c.next
			next.Held = append(next.Held, model.HeldSubtree{Key: c.key, Revision: c.subtree.Revision, Findings: c.findings})
		}
	}
	if changed := trial.accepted(); len(changed) > 0 {
		next.Running = overlay(a.current.Running, changed, cut)
		next.Tree = trial.index.tree()
	}
	next.Held = append(next.Held, rejected(cut)...)
	slices.SortFunc(next.Held, func(x, y model.HeldSubtree) int { return cmp.Compare(x.Key, y.Key) })
	a.current = next
}

// overlay returns a copy of running with the changed subtrees. Tombstones are
// kept as long as the cut has them.
func overlay(running, changed map[model.Key]*model.Subtree, cut model.Cut) map[model.Key]*model.Subtree {
	next := maps.Clone(running)
	maps.Copy(next, changed)
	maps.DeleteFunc(next, func(key model.Key, subtree *model.Subtree) bool {
		_, known := cut.Subtrees[key]
		return subtree.Removed && !known
	})
	return next
}

// rejected returns the subtrees of a cut whose documents are invalid.
func rejected(cut model.Cut) []model.HeldSubtree {
	var out []model.HeldSubtree
	for key, subtree := range cut.Subtrees {
		if len(subtree.Rejected) > 0 {
			out = append(out, model.HeldSubtree{Key: key, Revision: subtree.Revision, Findings: subtree.Rejected})
		}
	}
	return out
}
