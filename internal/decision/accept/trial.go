package accept

import (
	"slices"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// candidate is a changed subtree of a cut, or a version that a peer runs.
type candidate struct {
	key     model.Key
	subtree *model.Subtree
	// next is the changed version and previous the running one. Nil stands for a
	// subtree that is absent or removed.
	next, previous *decodedSubtree
	held           bool
	// findings are the reasons why the candidate is held.
	findings findings.List
}

// trial finds the candidates that can be in force together. After resolve, the
// index holds the accepted composition.
type trial struct {
	index      *index
	candidates []*candidate // oldest first
	byKey      map[model.Key]*candidate
}

// newTrial returns a trial with all candidates in force. It changes the index.
func newTrial(x *index, candidates []*candidate) *trial {
	t := &trial{index: x, candidates: candidates, byKey: make(map[model.Key]*candidate, len(candidates))}
	for _, c := range candidates {
		t.byKey[c.key] = c
		x.replace(c.key, c.next)
	}
	return t
}

// resolve decides which candidates are held back.
func (t *trial) resolve() {
	t.holdBlamed()
	t.retryHeld()
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

// holdBlamed holds back the newest blamed candidate of each violation until the
// composition is closed.
func (t *trial) holdBlamed() {
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

// newest returns the newest candidate in force among the keys. It returns nil if
// there is none, for instance because the blamed one was already held in this
// round, which may have fixed the violation.
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

// hold holds a candidate back: the running version of its key remains in force.
func (t *trial) hold(c *candidate) {
	c.held = true
	t.index.replace(c.key, c.previous)
}

// holdAll holds back all candidates but evacuations, which cannot cause a violation of
// another subtree. It is the fallback for violations for which no candidate in force is
// to blame.
func (t *trial) holdAll() {
	for _, c := range t.candidates {
		if _, evacuation := c.key.Evacuation(); !c.held && !evacuation {
			t.hold(c)
		}
	}
}

// retryHeld tries the held candidates again, one by one in order of revision,
// until no more can be accepted.
func (t *trial) retryHeld() {
	for progress := true; progress; {
		progress = false
		failed := map[*candidate]bool{}
		for _, c := range t.candidates {
			if c.held && t.tryWithFixes(c, failed) {
				progress = true
				clear(failed)
			}
		}
	}
}

// blocker is a violation found while a group of candidates is tried.
type blocker struct {
	// causes are the blamed candidates in force. fixes are the blamed candidates
	// that are held and have not failed: accepting one may fix the violation.
	causes, fixes []*candidate
}

// tryWithFixes puts a held candidate in force, together with the held ones that
// could fix its violations: the changes of two teams may depend on each other. It
// reports whether the composition is then closed. If it is not, all of them are held
// back again, and those that cannot be accepted in the current composition are added
// to failed.
func (t *trial) tryWithFixes(first *candidate, failed map[*candidate]bool) bool {
	var group []*candidate
	var blockers []blocker
	for pending := []*candidate{first}; len(pending) > 0; {
		for _, c := range pending {
			c.held = false
			t.index.replace(c.key, c.next)
		}
		group = append(group, pending...)
		violations := t.index.violations()
		if len(group) == 1 {
			first.findings = sortedFindings(violations)
		}
		found := t.blockers(violations, failed)
		blockers = append(blockers, found...)
		if slices.ContainsFunc(found, func(b blocker) bool { return len(b.fixes) == 0 }) {
			t.rollBack(group, blockers, failed)
			return false
		}
		pending = allFixes(found)
	}
	return true
}

func (t *trial) blockers(violations []violation, failed map[*candidate]bool) []blocker {
	out := make([]blocker, 0, len(violations))
	for _, v := range violations {
		var b blocker
		for _, key := range v.blamed {
			c := t.byKey[key]
			switch {
			case c == nil:
			case !c.held:
				b.causes = append(b.causes, c)
			case !failed[c]:
				b.fixes = append(b.fixes, c)
			}
		}
		out = append(out, b)
	}
	return out
}

// allFixes returns the fixes of all blockers without duplicates.
func allFixes(blockers []blocker) []*candidate {
	var out []*candidate
	seen := map[*candidate]bool{}
	for _, b := range blockers {
		for _, c := range b.fixes {
			if !seen[c] {
				seen[c] = true
				out = append(out, c)
			}
		}
	}
	return out
}

// rollBack holds the group back again. A candidate has failed if it is the only
// cause of a violation that no other candidate can fix, or that only failed ones
// could fix.
func (t *trial) rollBack(group []*candidate, blockers []blocker, failed map[*candidate]bool) {
	for _, c := range group {
		t.hold(c)
	}
	for changed := true; changed; {
		changed = false
		for _, b := range slices.Backward(blockers) {
			if len(b.causes) != 1 || failed[b.causes[0]] {
				continue
			}
			if !slices.ContainsFunc(b.fixes, func(c *candidate) bool { return !failed[c] }) {
				failed[b.causes[0]] = true
				changed = true
			}
		}
	}
}

func sortedFindings(violations []violation) findings.List {
	var list findings.List
	for _, v := range violations {
		list = append(list, v.finding)
	}
	list.Sort()
	return list
}
