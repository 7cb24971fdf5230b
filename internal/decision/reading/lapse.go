package reading

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// lapseGrace is how long after the platform's return an entry that ran out
	// meanwhile may be missing: servers write it again within 2 s.
	lapseGrace = 2300 * time.Millisecond
	// An outage that this node did not notice shows by many removals at once:
	// at least massRemovals, and one of massShare of the listed servers.
	massRemovals = 3
	massShare    = 4
	// massGrace is shorter, since so many servers may also leave on purpose.
	massGrace = 1200 * time.Millisecond
)

// RemovalHold holds back removals that may only mean that servers could not renew
// their entries while the platform was away. The zero value holds nothing. It
// is control state of one goroutine.
type RemovalHold struct {
	// until is the end of the grace after the last outage.
	until time.Time
	held  map[model.InstanceID]model.Member
}

// PlatformRecovered tells that the platform answers again after a failure.
func (l *RemovalHold) PlatformRecovered(now time.Time) { l.until = now.Add(lapseGrace) }

// Filter returns the records that hold now. The function returns what is known of
// an instance; a server that was leaving is not expected back.
func (l *RemovalHold) Filter(received []model.Member, known func(model.InstanceID) (model.Member, bool), listed int, now time.Time) []model.Member {
	removed := func(m model.Member) bool {
		before, ok := known(m.ID)
		return m.Listed == model.ListingRemoved && ok && before.Listed == model.ListingLive
	}
	removals := 0
	for _, m := range received {
		if removed(m) {
			removals++
		}
	}
	if removals >= massRemovals && removals*massShare >= listed {
		l.until = later(l.until, now.Add(massGrace))
	}
	out := make([]model.Member, 0, len(received))
	for _, m := range received {
		delete(l.held, m.ID) // the record is newer than the one held
		if removed(m) && now.Before(l.until) {
			if l.held == nil {
				l.held = make(map[model.InstanceID]model.Member)
			}
			l.held[m.ID] = m
			continue
		}
		out = append(out, m)
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Due returns the removals whose grace is over.
func (l *RemovalHold) Due(now time.Time) []model.Member {
	if now.Before(l.until) {
		return nil
	}
	var out []model.Member
	for _, m := range l.held {
		out = append(out, m)
	}
	clear(l.held)
	return out
}

// Wait returns how long to wait for news at most, so that removals are not held
// for too long.
func (l *RemovalHold) Wait(longest time.Duration, now time.Time) time.Duration {
	if len(l.held) == 0 {
		return longest
	}
	return min(longest, max(l.until.Sub(now), 0))
}
