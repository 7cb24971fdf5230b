package platformread

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// evacuationGrace is how long an evacuation remains that a platform has lost by returning
// from an older copy. Operators write what they had written again within seconds; one that
// they do not want any more must not remain for long.
const evacuationGrace = 10 * time.Second

// EvacuationHold decides how long evacuations remain that a platform has lost by returning
// from an older copy. The zero value holds none. It must be used by one goroutine only.
type EvacuationHold struct {
	// era is that of the last return by which evacuations were lost, due the end of the
	// hold, zero once they were removed.
	era uint64
	due time.Time
}

// Keeps reports whether evacuations of an earlier era that are missing in a complete
// listing at a revision remain.
func (h *EvacuationHold) Keeps(at model.Revision, now time.Time) bool {
	return at.Era() != h.era || now.Before(h.due)
}

// Kept records that evacuations are missing in a complete listing at a revision.
func (h *EvacuationHold) Kept(at model.Revision, now time.Time) {
	if at.Era() != h.era {
		h.era, h.due = at.Era(), now.Add(evacuationGrace)
	}
}

// Expired reports whether the evacuations that were kept must be removed if they are still
// missing.
func (h *EvacuationHold) Expired(now time.Time) bool { return !h.due.IsZero() && !now.Before(h.due) }

// Settled records that a cut contains no evacuations that are missing.
func (h *EvacuationHold) Settled() { h.due = time.Time{} }

// RemoveMissingEvacuations records that the evacuations that are not among the changes of a
// complete listing were removed. Those that are newer than the listing are kept: its pages
// were read one after the other, and other nodes may know later changes. If keepEarlier is
// true, those of an earlier era are kept too; RemoveMissingEvacuations returns their number.
func (a *Assembler) RemoveMissingEvacuations(at model.Revision, listed []KeyChange, keepEarlier bool) int {
	present := make(map[model.Key]bool, len(listed))
	for _, change := range listed {
		present[change.Key] = true
	}
	kept := 0
	remove := func(key model.Key, revision model.Revision) {
		_, evacuation := key.Evacuation()
		switch {
		case !evacuation || present[key] || revision >= at:
		case keepEarlier && revision.Era() < at.Era():
			kept++
		default:
			delete(a.wanted, key)
			a.changed[key] = &model.Subtree{Key: key, Revision: at, Removed: true}
		}
	}
	for key, subtree := range a.base.Subtrees {
		if a.changed[key] == nil && !subtree.Removed {
			remove(key, subtree.Revision)
		}
	}
	for key, subtree := range a.changed {
		if !subtree.Removed {
			remove(key, subtree.Revision)
		}
	}
	for key, revision := range a.wanted {
		remove(key, revision)
	}
	return kept
}
