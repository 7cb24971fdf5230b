package platformread_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/model"
)

// TestMissingEvacuations guards against evacuations that end because a listing is older
// than they are: its pages are no snapshot. Only evacuations are removed by a listing.
func TestMissingEvacuations(t *testing.T) {
	base := model.Cut{Revision: 9, Subtrees: map[model.Key]*model.Subtree{}}
	for key, revision := range map[model.Key]model.Revision{"root": 1, "evacuations/old": 3, "evacuations/listed": 4, "evacuations/new": 8} {
		base.Subtrees[key] = &model.Subtree{Key: key, Revision: revision}
	}
	a := platformread.NewAssembler(base)
	if err := a.AddListing(12, []platformread.KeyChange{{Key: "evacuations/wanted", Revision: 5}}); err != nil {
		t.Fatal(err)
	}
	a.RemoveMissingEvacuations(7, []platformread.KeyChange{{Key: "evacuations/listed", Revision: 4}}, false)
	cut, ok := a.Cut()
	if !ok {
		t.Fatal("the cut is not complete")
	}
	for key, removed := range map[model.Key]bool{
		"root": false, "evacuations/old": true, "evacuations/listed": false, "evacuations/new": false, "evacuations/wanted": true,
	} {
		if cut.Subtrees[key].Removed != removed {
			t.Errorf("%s: removed %t, want %t", key, cut.Subtrees[key].Removed, removed)
		}
	}
}

// TestEvacuationsThatPlatformLost guards against evacuations that end because the platform
// returned from an older copy, and against ones that nobody writes again and that never end.
func TestEvacuationsThatPlatformLost(t *testing.T) {
	const era = model.Revision(1 << 40)
	base := model.Cut{Revision: era + 9, Subtrees: map[model.Key]*model.Subtree{}}
	for key, revision := range map[model.Key]model.Revision{"evacuations/lost": 90, "evacuations/listed": 80, "evacuations/ended": era + 3} {
		base.Subtrees[key] = &model.Subtree{Key: key, Revision: revision}
	}
	var hold platformread.EvacuationHold
	removedAt := func(listed model.Revision, now time.Time) map[model.Key]bool {
		t.Helper()
		a := platformread.NewAssembler(base)
		if err := a.AddListing(listed, nil); err != nil {
			t.Fatal(err)
		}
		present := []platformread.KeyChange{{Key: "evacuations/listed", Revision: era + 1}}
		if a.RemoveMissingEvacuations(listed, present, hold.Keeps(listed, now)) > 0 {
			hold.Kept(listed, now)
		}
		cut, _ := a.Cut()
		removed := map[model.Key]bool{}
		for key, subtree := range cut.Subtrees {
			removed[key] = subtree.Removed
		}
		return removed
	}
	start := time.Unix(1000, 0)
	check := func(listed model.Revision, after time.Duration, lost bool) {
		t.Helper()
		now := start.Add(after)
		if removed := removedAt(listed, now); removed["evacuations/lost"] != lost || removed["evacuations/listed"] || !removed["evacuations/ended"] {
			t.Errorf("after %s at %s: removed %v, want the lost one removed %t", after, listed, removed, lost)
		}
	}
	check(era+10, 0, false)
	check(era+20, 9*time.Second, false) // another complete listing does not prolong the hold
	if hold.Expired(start.Add(9 * time.Second)) {
		t.Error("expired after 9 s")
	}
	if !hold.Expired(start.Add(10 * time.Second)) {
		t.Error("not expired after 10 s")
	}
	check(era+30, 10*time.Second, true)
	hold.Settled()
	check(era+40, 11*time.Second, true)
	if hold.Expired(start.Add(time.Minute)) {
		t.Error("expired again after it was settled")
	}
	if removed := removedAt(2*era+1, start.Add(12*time.Second)); removed["evacuations/lost"] || removed["evacuations/ended"] {
		t.Errorf("after a second return: removed %v", removed)
	}
}
