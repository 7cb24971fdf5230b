package reading_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/reading"
	"github.com/galenalever/galenalever/internal/model"
)

// listing is a set of known servers.
type listing map[model.InstanceID]model.Listing

func (l listing) get(id model.InstanceID) (model.Member, bool) {
	state, ok := l[id]
	return model.Member{ID: id, Listed: state}, ok
}

func removal(id string) model.Member {
	return model.Member{ID: model.InstanceID(id), Listed: model.ListingRemoved}
}

// ids returns the IDs of records in their order.
func ids(list []model.Member) string {
	text := ""
	for _, m := range list {
		text += string(m.ID)
	}
	return text
}

func TestLapses(t *testing.T) {
	known := listing{
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

	var l reading.RemovalHold
	check("in calm times", ids(l.Filter([]model.Member{removal("a")}, known.get, 5, at(0))), "a")

	l.PlatformRecovered(at(0))
	batch := []model.Member{removal("a"), removal("b"), removal("e"), {ID: "x", Listed: model.ListingLive}}
	check("after an outage", ids(l.Filter(batch, known.get, 5, at(0))), "ex")
	if wait := l.Wait(time.Minute, at(time.Second)); wait <= 0 || wait > 1500*time.Millisecond {
		t.Errorf("waits %s", wait)
	}
	back := []model.Member{{ID: "a", Listed: model.ListingLive}}
	check("an entry that is back", ids(l.Filter(back, known.get, 5, at(time.Second))), "a")
	check("before the grace is over", ids(l.Due(at(2*time.Second))), "")
	check("after it", ids(l.Due(at(2500*time.Millisecond))), "b")
	check("once only", ids(l.Due(at(3*time.Second))), "")

	var unnoticed reading.RemovalHold
	batch = []model.Member{removal("a"), removal("b"), removal("c")}
	check("many at once", ids(unnoticed.Filter(batch, known.get, 5, at(0))), "")
	if due := unnoticed.Due(at(3 * time.Second)); len(due) != 3 {
		t.Errorf("%d removals are due", len(due))
	}
}
