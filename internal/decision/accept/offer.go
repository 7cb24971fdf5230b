package accept

import (
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// Offer tries versions that a peer runs, for keys whose newest version is held back on
// this node. A version is accepted only if it is newer than the running one and the
// composition stays closed; the held subtrees are then tried again. Offer returns the
// current configuration, which is unchanged if no version is accepted.
func (a *Acceptor) Offer(versions []*model.Subtree) *model.Configuration {
	offers := a.offers(versions)
	if len(offers) == 0 {
		return a.current
	}
	trial := newTrial(a.index, a.withHeld(offers))
	trial.resolve()
	accepted := trial.accepted()
	if len(accepted) == 0 {
		return a.current
	}
	cut := a.current.Cut
	a.current = &model.Configuration{Cut: cut, Running: overlay(a.current.Running, accepted, cut), Tree: trial.index.tree()}
	a.decide(cut)
	return a.current
}

// offers returns the versions that are newer than the running and older than the
// held version of their key, at most one for each key.
func (a *Acceptor) offers(versions []*model.Subtree) []*candidate {
	var out []*candidate
	for _, subtree := range versions {
		key := subtree.Key
		running := a.current.Running[key]
		held := slices.ContainsFunc(a.current.Held, func(h model.HeldSubtree) bool {
			return h.Key == key && h.Revision > subtree.Revision
		})
		repeated := slices.ContainsFunc(out, func(c *candidate) bool { return c.key == key })
		if !held || repeated || len(subtree.Rejected) > 0 || !subtree.NewerThan(running) {
			continue
		}
		if subtree.Removed && running == nil {
			continue
		}
		out = append(out, &candidate{key: key, subtree: subtree, next: a.decoded(subtree), previous: a.index.subtrees[key]})
	}
	return out
}

// withHeld adds the held subtrees of other keys: they and the offers may depend on
// each other.
func (a *Acceptor) withHeld(offers []*candidate) []*candidate {
	out := slices.Clone(offers)
	for _, c := range a.candidates(a.current.Cut) {
		if !slices.ContainsFunc(offers, func(o *candidate) bool { return o.key == c.key }) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareCandidates)
	return out
}
