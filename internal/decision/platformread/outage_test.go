package platformread_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// rewriteTime is the time after the return of the platform within which servers write
	// entries again that expired meanwhile.
	rewriteTime = 2 * time.Second
	// maxHold is the maximum time for which a removal is held back.
	maxHold = 4600 * time.Millisecond
)

// TestCutWatchIsNoOutage guards against removed servers that get requests for as long as
// the platform cuts waiting watches, and after failures of an earlier time of reading.
func TestCutWatchIsNoOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	known := knownServers{"a": model.ListingLive, "b": model.ListingLive, "c": model.ListingLive}
	tests := map[string]struct {
		before func(h *platformread.RemovalHold) // until at(0)
		held   bool                              // a removal that is read at(0)
	}{
		"a watch that was cut": {func(h *platformread.RemovalHold) {
			h.CallFailed(at(1000), at(-200))
			h.CallSucceeded(at(0))
		}, false},
		"many watches that were cut": {func(h *platformread.RemovalHold) {
			for ms := -5000; ms < 0; ms += 500 {
				h.CallFailed(at(ms+1000), at(ms))
				h.CallSucceeded(at(ms + 200))
			}
		}, false},
		"two failures in a row": {func(h *platformread.RemovalHold) {
			h.CallFailed(at(1000), at(-400))
			h.CallFailed(at(-200), at(-200))
			h.CallSucceeded(at(0))
		}, true},
		"a call without a response": {func(h *platformread.RemovalHold) {
			h.CallFailed(at(-1500), at(-100))
			h.CallSucceeded(at(0))
		}, true},
		"a failure long ago": {func(h *platformread.RemovalHold) {
			h.CallFailed(at(-1500), at(-1500))
			h.CallSucceeded(at(0))
		}, true},
		"an outage in an earlier time of reading": {func(h *platformread.RemovalHold) {
			h.CallFailed(at(-9000), at(-9000))
			h.CallFailed(at(-8000), at(-8000))
			h.ReadingBegan()
			h.CallSucceeded(at(0))
		}, false},
		"an outage just before this time of reading": {func(h *platformread.RemovalHold) {
			h.CallFailed(at(-900), at(-900))
			h.CallFailed(at(-400), at(-400))
			h.ReadingBegan()
			h.CallSucceeded(at(0))
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h platformread.RemovalHold
			test.before(&h)
			passed := h.Filter([]model.Member{removal("a")}, known.get, len(known), at(0))
			if held := len(passed) == 0; held != test.held {
				t.Errorf("held back: %t, want %t", held, test.held)
			}
		})
	}
}

// TestRemovalsPassInTime plays random sequences of outages, cut watches, lost calls, times
// of reading and removals. A removal passes at the latest maxHold after its first sight, and at
// once if no outage came before it; an entry that expired in an outage and is back within
// rewriteTime is never removed.
func TestRemovalsPassInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h platformread.RemovalHold
		now := time.Unix(1000, 0)
		var recovered time.Time // the end of the latest outage
		seen := map[model.InstanceID]time.Time{}
		known := knownServers{}
		for _, id := range []model.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			known[id] = model.ListingLive
		}
		pass := func(passed []model.Member) {
			for _, m := range passed {
				if m.Listed != model.ListingRemoved {
					continue
				}
				if sight := seen[m.ID]; sight.Before(recovered.Add(rewriteTime)) && now.Before(earliest(recovered.Add(rewriteTime), sight.Add(maxHold))) {
					t.Fatalf("%s is removed %s after an outage", m.ID, now.Sub(recovered))
				}
				known[m.ID] = model.ListingRemoved
				delete(seen, m.ID)
			}
		}
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"remove", "remove", "expire", "cut", "outage", "lost", "reader", "listing", "listing"}), 1, 60)
		for _, step := range steps.Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			switch step {
			case "cut":
				h.CallFailed(now.Add(time.Second), now)
				now = now.Add(100 * time.Millisecond)
				h.CallSucceeded(now)
			case "lost":
				h.CallFailed(now, now.Add(1500*time.Millisecond))
				now, recovered = now.Add(1600*time.Millisecond), now.Add(1600*time.Millisecond)
				h.CallSucceeded(now)
			case "outage":
				for range rapid.IntRange(2, 5).Draw(t, "failures") {
					h.CallFailed(now, now)
					now = now.Add(300 * time.Millisecond)
				}
				recovered = now
				h.CallSucceeded(now)
			case "reader":
				h.ReadingBegan()
			case "remove", "expire":
				for id, state := range known {
					if _, again := seen[id]; state == model.ListingLive && !again {
						seen[id] = now
						passed := h.Filter([]model.Member{removal(string(id))}, known.get, len(known), now)
						if late := now.Sub(recovered) > 3*time.Second; late && len(passed) == 0 {
							t.Fatalf("a removal is held back %s after the latest outage", now.Sub(recovered))
						}
						pass(passed)
						break
					}
				}
			case "listing":
				var listing []model.Member
				for id := range seen {
					listing = append(listing, removal(string(id)))
				}
				pass(h.Filter(listing, known.get, len(known), now))
			}
			if wait := h.Wait(time.Minute, now); len(seen) > 0 && wait > maxHold {
				t.Fatalf("the node waits %s with removals held back", wait)
			}
			pass(h.Due(now))
			for id, sight := range seen {
				if now.Sub(sight) >= maxHold {
					t.Fatalf("%s is still held back %s after its first sight", id, now.Sub(sight))
				}
			}
		}
	})
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
