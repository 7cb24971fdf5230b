package platformread

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// recoveryGrace is how long after an outage of the platform entries that
	// expired during it may be missing: servers write them again within 2 s.
	recoveryGrace = 2300 * time.Millisecond
	// Many removals at once indicate an outage that this node did not notice: at
	// least massRemovalMin, and at least 1/massRemovalDivisor of the known servers.
	massRemovalMin     = 3
	massRemovalDivisor = 4
	// massRemovalGrace is shorter than recoveryGrace, since so many servers may also
	// have left on purpose.
	massRemovalGrace = 1200 * time.Millisecond
	// maxRemovalHold is the maximum time from the first sight of a removal until it passes,
	// whatever fails meanwhile: two outages in a row.
	maxRemovalHold = 2 * recoveryGrace
)

// RemovalHold holds back removals of servers that may only have been unable to renew
// their entries during an outage of the platform. The zero value holds nothing. It
// is control state and must be used by one goroutine only.
type RemovalHold struct {
	// until is the end of the grace period after the last outage.
	until    time.Time
	held     heldRecords
	failures failures
}

// ReadingBegan records that the node begins to read the platform, which it may have done
// before. An outage that it saw then ended after its last failure, and not at the first
// response to this reading.
func (h *RemovalHold) ReadingBegan() {
	if h.failures.showOutage(h.failures.last) {
		h.extend(h.failures.last.Add(recoveryGrace))
	}
	h.failures = failures{}
}

// CallFailed records a failed call, of which the platform owed the response at answerDue.
func (h *RemovalHold) CallFailed(answerDue, now time.Time) { h.failures.add(answerDue, now) }

// CallSucceeded records a response. If the failures before it show an outage, the platform
// has recovered.
func (h *RemovalHold) CallSucceeded(now time.Time) {
	if h.failures.showOutage(now) {
		h.PlatformRecovered(now)
	}
	h.failures = failures{}
}

// PlatformRecovered starts the grace period, also of the removals that are held back: the
// platform answers again after an outage.
func (h *RemovalHold) PlatformRecovered(now time.Time) { h.extend(now.Add(recoveryGrace)) }

func (h *RemovalHold) extend(until time.Time) {
	h.until = later(h.until, until)
	for id, r := range h.held {
		r.due = earlier(later(r.due, h.until), r.seen.Add(maxRemovalHold))
		h.held[id] = r
	}
}

// Filter returns the received records without the removals that are held back. The
// function known returns the previous record of an instance, and knownCount is the
// number of known servers. Removals of servers that were leaving pass at once,
// since such a server will not write its entry again. A later batch does not change when
// those that are held already pass, even if it contains them again, as each complete listing
// does.
func (h *RemovalHold) Filter(received []model.Member, known func(model.InstanceID) (model.Member, bool), knownCount int, now time.Time) []model.Member {
	removed := func(m model.Member) bool {
		before, ok := known(m.ID)
		return m.Listed == model.ListingRemoved && ok && before.Listed == model.ListingLive
	}
	removals := 0
	for _, m := range received {
		if _, again := h.held[m.ID]; removed(m) && !again {
			removals++
		}
	}
	if removals >= massRemovalMin && removals*massRemovalDivisor >= knownCount {
		h.until = later(h.until, now.Add(massRemovalGrace))
	}
	out := make([]model.Member, 0, len(received))
	for _, m := range received {
		r, again := h.held[m.ID]
		if !again {
			r = heldRecord{due: h.until, seen: now}
		}
		r.record = m
		delete(h.held, m.ID) // the received record is newer
		if removed(m) && now.Before(r.due) {
			h.held.add(r)
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Holding reports whether any removal is held back.
func (h *RemovalHold) Holding() bool { return len(h.held) > 0 }

// Due returns the held removals whose grace period is over, and releases them.
func (h *RemovalHold) Due(now time.Time) []model.Member { return h.held.release(now) }

// Wait returns how long to wait for the next records: at most longest, and no longer
// than until the first held removal is due.
func (h *RemovalHold) Wait(longest time.Duration, now time.Time) time.Duration {
	return h.held.wait(longest, now)
}
