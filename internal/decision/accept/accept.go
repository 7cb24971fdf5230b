// Package accept decides which subtrees of a cut a node runs. The result is a
// function of the running subtrees and the cut: no I/O, no clock, no encoding.
//
// The composition of the running subtrees is always closed: every team is
// granted, every claim lies within its team's grant, no two teams claim the
// same requests, and every route's service is declared. A changed subtree that
// would break this is held back with findings; the others are taken.
package accept

import (
	"cmp"
	"maps"
	"slices"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// Decoder returns the typed content of a subtree's leaves.
type Decoder func(*model.Subtree) (*model.Declarations, error)

// Acceptor holds the running subtrees of one node, decoded and indexed, so that
// the cost of a new cut follows the size of the change. It is not safe for
// concurrent use.
type Acceptor struct {
	decode  Decoder
	index   *index
	current *model.Configuration
	// held keeps the decoded parts of held subtrees until they change.
	held map[model.Key]*part
}

// New returns an acceptor that knows and runs nothing.
func New(decode Decoder) *Acceptor {
	return &Acceptor{
		decode: decode,
		index:  newIndex(),
		current: &model.Configuration{
			Running: map[model.Key]*model.Subtree{},
			Tree:    &model.Tree{Services: map[model.ServiceName]*model.Service{}},
		},
		held: map[model.Key]*part{},
	}
}

// Current returns the configuration that the last call led to. It is never nil.
func (a *Acceptor) Current() *model.Configuration { return a.current }

// Adopt takes over the running subtrees of a peer. It is for a fresh process: an
// acceptor that runs something, and running subtrees that are not closed, are
// errors and change nothing.
func (a *Acceptor) Adopt(running map[model.Key]*model.Subtree) error {
	var list findings.List
	if len(a.current.Running) > 0 {
		list.Addf(findings.Location{}, "a configuration is already running")
		return list.Err()
	}
	adopted := newIndex()
	for _, key := range slices.Sorted(maps.Keys(running)) {
		adopted.replace(key, a.part(running[key]))
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

// Accept moves to a newer cut and returns the new configuration. A cut that is
// not newer changes nothing.
func (a *Acceptor) Accept(cut model.Cut) *model.Configuration {
	if cut.Revision > a.current.Cut.Revision {
		a.decide(cut)
	}
	return a.current
}

func (a *Acceptor) decide(cut model.Cut) {
	trial := newTrial(a.index, a.candidates(cut))
	trial.run()
	a.publish(cut, trial)
}

// Accept returns the configuration that follows from running subtrees, which
// must be closed, and a cut.
func Accept(decode Decoder, running map[model.Key]*model.Subtree, cut model.Cut) (*model.Configuration, error) {
	acceptor := New(decode)
	if err := acceptor.Adopt(running); err != nil {
		return nil, err
	}
	return acceptor.Accept(cut), nil
}

// candidates returns the subtrees of cut that are newer than the running ones,
// newest last. A key that the cut lacks was removed.
func (a *Acceptor) candidates(cut model.Cut) []*candidate {
	var out []*candidate
	for key, subtree := range cut.Subtrees {
		running := a.current.Running[key]
		if len(subtree.Rejected) > 0 || (running != nil && subtree.Revision <= running.Revision) {
			continue
		}
		if subtree.Removed && running == nil {
			continue
		}
		out = append(out, &candidate{key: key, subtree: subtree, next: a.part(subtree), previous: a.index.parts[key]})
	}
	for key, running := range a.current.Running {
		if _, ok := cut.Subtrees[key]; !ok && !running.Removed {
			gone := &model.Subtree{Key: key, Revision: cut.Revision, Removed: true}
			out = append(out, &candidate{key: key, subtree: gone, previous: a.index.parts[key]})
		}
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

func compareCandidates(a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.subtree.Revision, b.subtree.Revision), cmp.Compare(a.key, b.key))
}

// part returns the decoded subtree, or nil for a removed one.
func (a *Acceptor) part(subtree *model.Subtree) *part {
	if subtree.Removed {
		return nil
	}
	if known := a.held[subtree.Key]; known != nil && known.subtree == subtree {
		return known
	}
	return newPart(subtree, a.decode)
}

// publish makes the outcome of a trial the current configuration.
func (a *Acceptor) publish(cut model.Cut, trial *trial) {
	next := &model.Configuration{Cut: cut, Running: a.current.Running, Tree: a.current.Tree}
	a.held = map[model.Key]*part{}
	for _, c := range trial.candidates {
		if c.held {
			a.held[c.key] = c.next
			next.Held = append(next.Held, model.HeldSubtree{Key: c.key, Revision: c.subtree.Revision, Findings: c.reasons})
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

// overlay returns running with the changed subtrees. Tombstones stay as long as
// the cut has them.
func overlay(running, changed map[model.Key]*model.Subtree, cut model.Cut) map[model.Key]*model.Subtree {
	next := maps.Clone(running)
	maps.Copy(next, changed)
	maps.DeleteFunc(next, func(key model.Key, subtree *model.Subtree) bool {
		_, known := cut.Subtrees[key]
		return subtree.Removed && !known
	})
	return next
}

func rejected(cut model.Cut) []model.HeldSubtree {
	var out []model.HeldSubtree
	for key, subtree := range cut.Subtrees {
		if len(subtree.Rejected) > 0 {
			out = append(out, model.HeldSubtree{Key: key, Revision: subtree.Revision, Findings: subtree.Rejected})
		}
	}
	return out
}
