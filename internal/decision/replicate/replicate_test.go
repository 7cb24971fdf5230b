package replicate_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
)

// The seed of the property tests is fixed; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// subtreeOf returns a subtree as it is read from the platform: all leaves are
// stamped with the subtree's revision.
func subtreeOf(key model.Key, revision model.Revision, values map[string]string) *model.Subtree {
	subtree := &model.Subtree{Key: key, Revision: revision, Horizon: revision}
	for path, value := range values {
		subtree.Leaves = append(subtree.Leaves, model.Leaf{Path: path, Value: []byte(value), Changed: revision})
	}
	model.SortLeaves(subtree.Leaves)
	subtree.Hash = model.HashLeaves(subtree.Leaves)
	return subtree
}

func cutOf(revision model.Revision, subtrees ...*model.Subtree) model.Cut {
	cut := model.Cut{Revision: revision, Subtrees: map[model.Key]*model.Subtree{}}
	for _, subtree := range subtrees {
		cut.Subtrees[subtree.Key] = subtree
	}
	return cut
}

func advance(t rapid.TB, known, next model.Cut) model.Cut {
	t.Helper()
	merged, err := replicate.Advance(known, next)
	if err != nil {
		t.Fatal(err)
	}
	return merged
}

// TestDeltaHoldsOnlyWhatChanged guards against deltas that carry unchanged leaves or
// subtrees, and against a partial delta for a base before the horizon, for which removals
// are no longer recorded.
func TestDeltaHoldsOnlyWhatChanged(t *testing.T) {
	values := map[string]string{"a": "1", "b": "1", "c": "1"}
	first := advance(t, model.Cut{}, cutOf(5, subtreeOf("teams/x", 3, values), subtreeOf("teams/y", 5, values)))
	values["a"] = "2"
	delete(values, "b")
	second := advance(t, first, cutOf(7, subtreeOf("teams/x", 7, values), subtreeOf("teams/y", 5, nil)))
	delta := replicate.Diff(second, first.Revision, nil)
	if len(delta.Subtrees) != 1 || delta.Subtrees[0].Base != 5 {
		t.Fatalf("delta %+v", delta)
	}
	x := delta.Subtrees[0].Subtree
	if len(x.Leaves) != 1 || x.Leaves[0].Path != "a" || len(x.Dropped) != 1 || x.Dropped[0].Path != "b" {
		t.Errorf("leaves %v, dropped %v", x.Leaves, x.Dropped)
	}
	if whole := replicate.Diff(second, 1, nil).Subtrees[0]; whole.Base != 0 || len(whole.Subtree.Leaves) != 2 {
		t.Errorf("delta from a base before the horizon: %+v", whole)
	}
	got := replicate.Apply(first, delta)
	if got.Cut.Revision != 7 || replicate.Digest(got.Cut) != replicate.Digest(second) {
		t.Errorf("applied: %+v", got)
	}
}

// TestForgottenRemovals removes more leaves and subtrees than a cut records. A
// delta that misses a tombstone must not be applied.
func TestForgottenRemovals(t *testing.T) {
	const removals = 300
	values := map[string]string{"stays": "1"}
	unchanged := subtreeOf("teams/y", 1, nil)
	subtrees := []*model.Subtree{unchanged}
	for i := range removals {
		values[fmt.Sprintf("leaf%d", i)] = "1"
		subtrees = append(subtrees, subtreeOf(model.Key(fmt.Sprintf("teams/t%d", i)), 1, map[string]string{"a": "1"}))
	}
	first := advance(t, model.Cut{}, cutOf(1, append(subtrees, subtreeOf("teams/x", 1, values))...))
	second := advance(t, first, cutOf(2, unchanged, subtreeOf("teams/x", 2, map[string]string{"stays": "1"})))
	if n := len(second.Subtrees); n != 258 {
		t.Errorf("cut has %d subtrees, tombstones included", n)
	}
	if n := len(second.Subtrees["teams/x"].Dropped); n != 256 {
		t.Errorf("%d dropped leaves are recorded", n)
	}
	partial := replicate.Apply(first, replicate.Diff(second, 1, nil))
	if partial.Cut.Revision != 1 || !partial.Resync {
		t.Fatalf("a delta that misses a tombstone was applied: revision %d", partial.Cut.Revision)
	}
	complete := replicate.Apply(first, replicate.Diff(second, 0, nil))
	if complete.Cut.Revision != 2 || replicate.Digest(complete.Cut) != replicate.Digest(second) {
		t.Errorf("complete cut was not applied: %+v", complete.Mismatched)
	}
}

// TestApplyReachesTheSameCut draws a random history of one subtree. Sender and
// receiver each read some of its revisions, and the receiver polls the sender in
// between. A delta must either lead to the sender's cut or be refused, and the
// whole subtree must always lead to the sender's cut.
func TestApplyReachesTheSameCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender, receiver model.Cut
		for revision := model.Revision(1); revision < 20; revision++ {
			values := map[string]string{}
			for _, path := range []string{"a", "b", "c"} {
				if v := rapid.IntRange(0, 2).Draw(t, path); v > 0 {
					values[path] = fmt.Sprint(v)
				}
			}
			next := cutOf(revision, subtreeOf("teams/x", revision, values))
			if rapid.IntRange(0, 9).Draw(t, "removed") == 0 {
				next = cutOf(revision)
			}
			if rapid.Bool().Draw(t, "sender reads") {
				sender = advance(t, sender, next)
			}
			if rapid.IntRange(0, 3).Draw(t, "receiver reads") == 0 {
				receiver = advance(t, receiver, next)
			}
			if rapid.Bool().Draw(t, "poll") && sender.Revision > receiver.Revision {
				receiver = poll(t, sender, receiver)
			}
		}
	})
}

func poll(t *rapid.T, sender, receiver model.Cut) model.Cut {
	result := replicate.Apply(receiver, replicate.Diff(sender, receiver.Revision, nil))
	if len(result.Mismatched) > 0 {
		result = replicate.Apply(receiver, replicate.Diff(sender, receiver.Revision, result.Mismatched))
	}
	if result.Resync || len(result.Mismatched) > 0 || result.Cut.Revision != sender.Revision {
		t.Fatalf("the cut is not reached with whole subtrees: %+v", result)
	}
	if replicate.Digest(result.Cut) != replicate.Digest(sender) {
		t.Fatalf("cuts differ at revision %d", sender.Revision)
	}
	return result.Cut
}
