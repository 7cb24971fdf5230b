package platformread

import (
	"maps"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// returnGrace is how long an entry from an older copy of the platform's state does not
// replace a later one. The entry of a server that has left expires within this time, and
// one that has not is written again.
const returnGrace = 4 * time.Second

// ReturnHold holds back entries with which a platform that has returned from an older
// copy contradicts what it said before: that a server was leaving, removed or started
// again. The zero value holds nothing. It is control state and must be used by one
// goroutine only.
type ReturnHold struct{ held heldRecords }

// Filter returns the received records without the entries that are held back. returned
// marks the first listing after a return. The function known returns the previous record
// of an instance. A record at a later revision ends the hold of its instance.
func (h *ReturnHold) Filter(
	received []model.Member, returned bool, known func(model.InstanceID) (model.Member, bool), now time.Time,
) []model.Member {
	out := make([]model.Member, 0, len(received))
	for _, m := range received {
		if e, held := h.held[m.ID]; held && m.ListedAt == e.record.ListedAt {
			continue
		}
		delete(h.held, m.ID)
		if before, ok := known(m.ID); returned && ok && contradicts(m, before) {
			h.held.add(heldRecord{record: m, seen: now, due: now.Add(returnGrace)})
			continue
		}
		out = append(out, m)
	}
	return out
}

// contradicts reports whether an entry describes an earlier state of a server than the
// known record: before it was started again, began to leave or was removed.
func contradicts(m, known model.Member) bool {
	if m.Started != known.Started {
		return m.Started < known.Started
	}
	switch known.Listed {
	case model.ListingLeaving:
		return m.Listed == model.ListingLive
	case model.ListingRemoved:
		return m.Listed != model.ListingRemoved
	default:
		return false
	}
}

// KeepListed drops the held entries that a complete listing no longer contains.
func (h *ReturnHold) KeepListed(complete []model.Member) {
	listed := make(map[model.InstanceID]struct{}, len(complete))
	for _, m := range complete {
		listed[m.ID] = struct{}{}
	}
	maps.DeleteFunc(h.held, func(id model.InstanceID, _ heldRecord) bool {
		_, ok := listed[id]
		return !ok
	})
}

// Holding reports whether any entry is held back.
func (h *ReturnHold) Holding() bool { return len(h.held) > 0 }

// Due returns the held entries whose time is over, and releases them.
func (h *ReturnHold) Due(now time.Time) []model.Member { return h.held.release(now) }

// Wait returns how long to wait for the next records: at most longest, and no longer
// than until the first held entry is due.
func (h *ReturnHold) Wait(longest time.Duration, now time.Time) time.Duration {
	return h.held.wait(longest, now)
}
