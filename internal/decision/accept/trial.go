package accept

import (
	"slices"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// candidate is one changed subtree of a cut.
type candidate struct {
	key     model.Key
	subtree *model.Subtree
	// next and previous are nil when the key is or was absent.
	next, previous *part
	held           bool
	// reasons tell why the candidate is held.
	reasons findings.List
}

// trial finds the candidates that can be in force together. Afterwards the
// index holds the accepted composition.
type trial struct {
	index      *index
	candidates []*candidate // oldest first
	byKey      map[model.Key]*candidate
}

// newTrial puts all candidates in force at once.
func newTrial(x *index, candidates []*candidate) *trial {
	t := &trial{index: x, candidates: candidates, byKey: make(map[model.Key]*candidate, len(candidates))}
	for _, c := range candidates {
		t.byKey[c.key] = c
		x.replace(c.key, c.next)
	}
	return t
}

// run decides which candidates are held.
func (t *trial) run() {
	t.holdBack()
	t.release()
}

// accepted returns the subtrees of the candidates in force.
func (t *trial) accepted() map[model.Key]*model.Subtree {
	out := map[model.Key]*model.Subtree{}
	for _, c := range t.candidates {
		if !c.held {
			out[c.key] = c.subtree
		}
	}
	return out
}

// holdBack takes the newest candidate to blame for each violation out of force,
// until the composition is closed.
func (t *trial) holdBack() {
	for {
		violations := t.index.violations()
		if len(violations) == 0 {
			return
		}
		progress := false
		for _, v := range violations {
			if c := t.newest(v.blamed); c != nil {
				t.hold(c)
				progress = true
			}
		}
		if !progress {
			t.holdAll()
			return
		}
	}
}

// newest returns the newest candidate in force among the keys. Nil also means
// that one of them was held in this round, which may mend the violation.
func (t *trial) newest(keys []model.Key) *candidate {
	var found *candidate
	for _, key := range keys {
		c := t.byKey[key]
		if c != nil && !c.held && (found == nil || compareCandidates(c, found) > 0) {
			found = c
		}
	}
	return found
}

func (t *trial) hold(c *candidate) {
	c.held = true
	t.index.replace(c.key, c.previous)
}

// holdAll is the answer to a violation that no candidate is to blame for.
func (t *trial) holdAll() {
	for _, c := range t.candidates {
		if !c.held {
			t.hold(c)
		}
	}
}

// release tries the held candidates again, one by one in order of revision,
// until none more can be taken.
func (t *trial) release() {
	for progress := true; progress; {
		progress = false
		failed := map[*candidate]bool{}
		for _, c := range t.candidates {
			if c.held && t.tryWithNeeded(c, failed) {
				progress = true
				clear(failed)
			}
		}
	}
}

// need is a violation seen while a group of candidates is tried.
type need struct {
	// causes are the candidates in force that are to blame, menders the held
	// ones.
	causes, menders []*candidate
}

// tryWithNeeded puts one held candidate in force, together with those held ones
// that could mend its violations: two teams may need each other's change. On
// failure it adds the candidates that cannot be taken as things are to failed.
func (t *trial) tryWithNeeded(first *candidate, failed map[*candidate]bool) bool {
	var group []*candidate
	var needs []need
	for pending := []*candidate{first}; len(pending) > 0; {
		for _, c := range pending {
			c.held = false
			t.index.replace(c.key, c.next)
		}
		group = append(group, pending...)
		violations := t.index.violations()
		if len(group) == 1 {
			first.reasons = reasons(violations)
		}
		found := t.needs(violations, failed)
		needs = append(needs, found...)
		if slices.ContainsFunc(found, func(n need) bool { return len(n.menders) == 0 }) {
			t.giveUp(group, needs, failed)
			return false
		}
		pending = allMenders(found)
	}
	return true
}

func (t *trial) needs(violations []violation, failed map[*candidate]bool) []need {
	out := make([]need, 0, len(violations))
	for _, v := range violations {
		var n need
		for _, key := range v.blamed {
			c := t.byKey[key]
			switch {
			case c == nil:
			case !c.held:
				n.causes = append(n.causes, c)
			case !failed[c]:
				n.menders = append(n.menders, c)
			}
		}
		out = append(out, n)
	}
	return out
}

// allMenders returns the menders of all needs, each once.
func allMenders(needs []need) []*candidate {
	var out []*candidate
	seen := map[*candidate]bool{}
	for _, n := range needs {
		for _, c := range n.menders {
			if !seen[c] {
				seen[c] = true
				out = append(out, c)
			}
		}
	}
	return out
}

// giveUp holds the group again. A candidate that alone causes a violation that
// nothing can mend has failed; so has, in turn, one that only it could mend.
func (t *trial) giveUp(group []*candidate, needs []need, failed map[*candidate]bool) {
	for _, c := range group {
		t.hold(c)
	}
	for changed := true; changed; {
		changed = false
		for _, n := range slices.Backward(needs) {
			if len(n.causes) != 1 || failed[n.causes[0]] {
				continue
			}
			if !slices.ContainsFunc(n.menders, func(c *candidate) bool { return !failed[c] }) {
				failed[n.causes[0]] = true
				changed = true
			}
		}
	}
}

// reasons returns the findings of violations in order.
func reasons(violations []violation) findings.List {
	var list findings.List
	for _, v := range violations {
		list = append(list, v.finding)
	}
	list.Sort()
	return list
}
