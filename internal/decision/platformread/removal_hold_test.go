package platformread_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/model"
)

// knownServers maps each known server to its state in the platform's list.
type knownServers map[model.InstanceID]model.Listing

func (k knownServers) get(id model.InstanceID) (model.Member, bool) {
	state, ok := k[id]
	return model.Member{ID: id, Listed: state}, ok
}

func removal(id string) model.Member {
	return model.Member{ID: model.InstanceID(id), Listed: model.ListingRemoved}
}

func ids(list []model.Member) string {
	text := ""
	for _, m := range list {
		text += string(m.ID)
	}
	return text
}

// TestRemovalHold guards against removing servers whose entries only expired during an
// outage of the platform, whether this node noticed the outage or not, and against
// keeping a server whose entry is still missing after the grace period.
func TestRemovalHold(t *testing.T) {
	known := knownServers{
		"a": model.ListingLive, "b": model.ListingLive, "c": model.ListingLive, "d": model.ListingLive,
		"e": model.ListingLeaving,
	}
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	check := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}

	var hold platformread.RemovalHold
	check("without an outage", ids(hold.Filter([]model.Member{removal("a")}, known.get, 5, at(0))), "a")

	hold.PlatformRecovered(at(0))
	batch := []model.Member{removal("a"), removal("b"), removal("e"), {ID: "x", Listed: model.ListingLive}}
	check("after an outage", ids(hold.Filter(batch, known.get, 5, at(0))), "ex")
	if wait := hold.Wait(time.Minute, at(time.Second)); wait <= 0 || wait > 1500*time.Millisecond {
		t.Errorf("wait = %s, want the rest of the grace period", wait)
	}
	back := []model.Member{{ID: "a", Listed: model.ListingLive}}
	check("an entry that was written again", ids(hold.Filter(back, known.get, 5, at(time.Second))), "a")
	check("before the end of the grace period", ids(hold.Due(at(2*time.Second))), "")
	check("after the end of the grace period", ids(hold.Due(at(2500*time.Millisecond))), "b")
	check("already released", ids(hold.Due(at(3*time.Second))), "")

	var unnoticed platformread.RemovalHold
	batch = []model.Member{removal("a"), removal("b"), removal("c")}
	check("many removals at once", ids(unnoticed.Filter(batch, known.get, 5, at(0))), "")
	if due := unnoticed.Due(at(3 * time.Second)); len(due) != 3 {
		t.Errorf("%d removals are due", len(due))
	}
}

// TestLaterBatchDoesNotHoldEarlierRemovalsLonger guards against servers that get requests
// long after their removal because others were removed after them.
func TestLaterBatchDoesNotHoldEarlierRemovalsLonger(t *testing.T) {
	known := knownServers{}
	for _, id := range []model.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		known[id] = model.ListingLive
	}
	start := time.Unix(1000, 0)
	var hold platformread.RemovalHold
	hold.Filter([]model.Member{removal("a"), removal("b"), removal("c")}, known.get, 12, start)
	second := start.Add(time.Second)
	hold.Filter([]model.Member{removal("d"), removal("e"), removal("f")}, known.get, 9, second)
	// The first batch is due 1.2 s after its arrival, the second one a second later.
	if wait := hold.Wait(time.Minute, second); wait != 200*time.Millisecond {
		t.Errorf("wait %v for the first batch", wait)
	}
	if due := hold.Due(start.Add(1200 * time.Millisecond)); len(due) != 3 {
		t.Errorf("%d removals are due after the first batch's grace period", len(due))
	}
	if due := hold.Due(start.Add(2200 * time.Millisecond)); len(due) != 3 || hold.Holding() {
		t.Errorf("%d removals are due after the second batch's grace period", len(due))
	}

	hold.Filter([]model.Member{removal("g"), removal("h"), removal("i")}, known.get, 6, start)
	hold.PlatformRecovered(second)
	if due := hold.Due(start.Add(3200 * time.Millisecond)); len(due) != 0 {
		t.Errorf("%d removals are due although the platform failed since", len(due))
	}
}

// TestRepeatedListingDoesNotHoldRemovalsLonger guards against removed servers that get
// requests for as long as complete listings follow each other, each of which lacks them.
func TestRepeatedListingDoesNotHoldRemovalsLonger(t *testing.T) {
	const massGrace = 1200 * time.Millisecond
	names := []model.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h"}
	rapid.Check(t, func(t *rapid.T) {
		var hold platformread.RemovalHold
		known, seen := knownServers{}, map[model.InstanceID]time.Time{}
		for _, id := range names {
			known[id] = model.ListingLive
		}
		now := time.Unix(1000, 0)
		pass := func(passed []model.Member) {
			for _, m := range passed {
				if m.Listed == model.ListingRemoved {
					delete(known, m.ID)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "listings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			for range rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "removed") {
				id := rapid.SampledFrom(names).Draw(t, "id")
				if _, again := seen[id]; !again {
					seen[id] = now
				}
			}
			var listing []model.Member
			for _, id := range names {
				if _, still := known[id]; still && !seen[id].IsZero() {
					listing = append(listing, removal(string(id)))
				}
			}
			pass(hold.Filter(listing, known.get, len(known), now))
			pass(hold.Due(now))
			for id, at := range seen {
				if _, still := known[id]; still && now.Sub(at) >= massGrace {
					t.Fatalf("%s is still held %s after its removal was read", id, now.Sub(at))
				}
			}
		}
	})
}
