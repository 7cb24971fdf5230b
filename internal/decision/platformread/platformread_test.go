package platformread_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/model"
)

// source simulates the platform. It records every change and can answer as of any
// revision.
type source struct {
	history []platformread.KeyChange
}

func (s *source) publish(key model.Key, deleted bool) {
	revision := model.Revision(len(s.history) + 1)
	s.history = append(s.history, platformread.KeyChange{Key: key, Revision: revision, Deleted: deleted})
}

// at returns the latest change of each key as of a revision.
func (s *source) at(revision model.Revision) map[model.Key]platformread.KeyChange {
	latest := make(map[model.Key]platformread.KeyChange)
	for _, c := range s.history[:revision] {
		latest[c.Key] = c
	}
	return latest
}

// list returns the changes after a revision, as of the revision shown. A listing from
// the start, with after 0, leaves out deleted keys.
func (s *source) list(after, shown model.Revision) []platformread.KeyChange {
	var out []platformread.KeyChange
	for _, c := range s.at(shown) {
		if c.Revision > after && (after > 0 || !c.Deleted) {
			out = append(out, c)
		}
	}
	return out
}

// TestAssembledCutsAreConsistent assembles cuts while values change and some responses
// come from a stale copy. Each cut must equal the platform's state at its
// revision.
func TestAssembledCutsAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := &source{}
		publish := func() {
			key := model.Key(fmt.Sprintf("teams/%d", rapid.IntRange(0, 4).Draw(t, "key")))
			platform.publish(key, rapid.IntRange(0, 5).Draw(t, "deleted") == 0)
		}
		// shown draws the revision as of which a call is answered.
		shown := func() model.Revision {
			newest := model.Revision(len(platform.history))
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				return model.Revision(rapid.Uint64Range(0, uint64(newest)).Draw(t, "shown"))
			}
			return newest
		}
		publish()
		known := model.Cut{}
		assembler := platformread.NewAssembler(known)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
				publish()
			}
			makeNextCall(assembler, platform, shown())
			cut, ok := assembler.Cut()
			if !ok {
				continue
			}
			checkCut(t, platform, cut)
			if cut.Revision <= known.Revision {
				t.Fatalf("cut has revision %d, not newer than %d", cut.Revision, known.Revision)
			}
			known = cut
			assembler = platformread.NewAssembler(known)
		}
	})
}

// makeNextCall makes the call that the assembler needs next, answered as of the
// revision shown.
func makeNextCall(a *platformread.Assembler, platform *source, shown model.Revision) {
	key, unread := a.Next()
	if !unread || a.NeedsListing() {
		_ = a.AddListing(shown, platform.list(a.After(), shown)) // a stale listing is refused
		return
	}
	c, ok := platform.at(shown)[key]
	if !ok || c.Deleted {
		a.AddMissing(key)
		return
	}
	_ = a.AddValue(&model.Subtree{Key: key, Revision: c.Revision})
}

func checkCut(t *rapid.T, platform *source, cut model.Cut) {
	want := platform.at(cut.Revision)
	for key, c := range want {
		got := cut.Subtrees[key]
		switch {
		case c.Deleted && (got == nil || got.Removed):
		case c.Deleted, got == nil, got.Removed, got.Revision != c.Revision:
			t.Fatalf("cut %d: %s is %+v, the platform had %+v", cut.Revision, key, got, c)
		}
	}
}

// TestStaleListingIsRefused guards against a node that returns to an earlier state because
// a stale copy of the platform answered.
func TestStaleListingIsRefused(t *testing.T) {
	a := platformread.NewAssembler(model.Cut{Revision: 7})
	if err := a.AddListing(6, nil); !errors.Is(err, platformread.ErrStale) {
		t.Errorf("error = %v, want %v", err, platformread.ErrStale)
	}
}

// TestInstancesMissingFromACompleteListingAreRemoved guards against keeping an instance
// that the platform no longer lists, and against removing one that was listed after the
// listing or has only announced itself.
func TestInstancesMissingFromACompleteListingAreRemoved(t *testing.T) {
	listed := func(id model.InstanceID, at model.Revision) model.Member {
		return model.Member{ID: id, Listed: model.ListingLive, ListedAt: at}
	}
	announced := model.Member{ID: "new", Announced: model.Announcement{Incarnation: 1, Presence: model.PresenceReady}}
	view, _ := members.New(1).With(listed("kept", 2), listed("lost", 3), listed("later", 9), announced)
	removed := platformread.RemovedInstances(view, 5, []model.Member{listed("kept", 2)})
	if len(removed) != 1 || removed[0].ID != "lost" || removed[0].Listed != model.ListingRemoved {
		t.Errorf("removed: %v", removed)
	}
}

// TestRemovalRecords checks that the removal of a known instance is a record, also if the
// instance is known from other nodes only.
func TestRemovalRecords(t *testing.T) {
	listed := func(id string, at model.Revision) model.Member {
		return model.Member{ID: model.InstanceID(id), Service: "shop/a", Listed: model.ListingLive, ListedAt: at}
	}
	view, _ := members.New(1).With(listed("old", 2), listed("newer", 9), model.Member{ID: "unlisted"})
	got, unknown := platformread.RemovalRecords(view, []platformread.Removal{
		{ID: "old", Revision: 5}, {ID: "newer", Revision: 5}, {ID: "unlisted", Revision: 5}, {ID: "unknown", Revision: 5},
	})
	if len(got) != 1 || got[0].ID != "old" || got[0].Listed != model.ListingRemoved || got[0].ListedAt != 5 || got[0].Service != "shop/a" {
		t.Errorf("got %+v", got)
	}
	if len(unknown) != 1 || unknown[0].ID != "unknown" || unknown[0].Revision != 5 {
		t.Errorf("unknown: %+v", unknown)
	}
}
