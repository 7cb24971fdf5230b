package platformread_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/model"
)

// TestReturnHold guards against servers that get requests again because the platform has
// returned from a copy that is older than their end, and against servers that stay without
// requests although their entry remains.
func TestReturnHold(t *testing.T) {
	record := func(id string, state model.Listing, started model.Incarnation, at model.Revision) model.Member {
		return model.Member{ID: model.InstanceID(id), Listed: state, Started: started, ListedAt: at}
	}
	known := map[model.InstanceID]model.Member{}
	for _, m := range []model.Member{
		record("a", model.ListingLeaving, 1, 90), record("b", model.ListingRemoved, 1, 91), record("c", model.ListingLive, 2, 92),
		record("d", model.ListingLive, 1, 50), record("e", model.ListingRemoved, 1, 93), record("f", model.ListingLeaving, 1, 94),
	} {
		known[m.ID] = m
	}
	get := func(id model.InstanceID) (model.Member, bool) { m, ok := known[id]; return m, ok }
	const era = model.Revision(1 << 40)
	copied := []model.Member{
		record("a", model.ListingLive, 1, era+70), record("b", model.ListingLeaving, 1, era+71), record("c", model.ListingLive, 1, era+72),
		record("d", model.ListingLive, 1, era+50), record("e", model.ListingLive, 2, era+80), record("f", model.ListingLeaving, 1, era+73),
		record("x", model.ListingLive, 1, era+74),
	}
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	check := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	var hold platformread.ReturnHold
	check("without a return", ids(hold.Filter(copied, false, get, at(0))), "abcdefx")
	check("after a return", ids(hold.Filter(copied, true, get, at(0))), "defx")
	check("the same entry in another listing", ids(hold.Filter(copied[:1], false, get, at(time.Second))), "")
	check("a later entry", ids(hold.Filter([]model.Member{record("a", model.ListingLive, 1, era+99)}, false, get, at(time.Second))), "a")
	if wait := hold.Wait(time.Minute, at(time.Second)); wait != 3*time.Second {
		t.Errorf("wait = %s, want the rest of the time", wait)
	}
	check("before the time is over", ids(hold.Due(at(3900*time.Millisecond))), "")
	hold.KeepListed(copied[1:2])
	check("after the time, the other has expired", ids(hold.Due(at(4*time.Second))), "b")
	if hold.Holding() {
		t.Error("entries are held that are not listed")
	}
}
