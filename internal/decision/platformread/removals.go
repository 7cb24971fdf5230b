package platformread

import (
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// maxUnknownRemovals is the maximum number of removals of unknown instances that are
// kept.
const maxUnknownRemovals = 1024

// Removals holds what the platform has told this node about instances that it no longer
// lists and that the node did not know. Another node that has lost the platform may still
// report such an instance as listed. The zero value holds nothing. It is control state and
// must be used by one goroutine only.
type Removals struct {
	// completeAt is the revision of the newest complete listing; 0 if there was none.
	completeAt model.Revision
	byID       map[model.InstanceID]model.Revision
}

// ListedCompletely records a complete listing at a revision.
func (r *Removals) ListedCompletely(at model.Revision) { r.completeAt = max(r.completeAt, at) }

// Add records the removal of an instance that the node does not know.
func (r *Removals) Add(removal Removal) {
	if r.byID == nil {
		r.byID = make(map[model.InstanceID]model.Revision)
	}
	r.byID[removal.ID] = max(r.byID[removal.ID], removal.Revision)
	if len(r.byID) <= maxUnknownRemovals {
		return
	}
	oldest := removal.ID
	for id, revision := range r.byID {
		if revision < r.byID[oldest] {
			oldest = id
		}
	}
	delete(r.byID, oldest)
}

// Apply returns the records that other nodes have sent, as far as the platform does not
// contradict them. The record of an instance that is not in the view says that it is
// removed if the platform has reported that, and is left out if a later complete listing
// did not contain it: its entry may have expired in an outage and be written again, so
// other nodes must not hear of a removal.
func (r *Removals) Apply(view *members.View, received []model.Member) []model.Member {
	out := make([]model.Member, 0, len(received))
	for _, m := range received {
		_, known := view.Get(m.ID)
		switch {
		case known || m.ListedAt == 0 || m.Listed == model.ListingRemoved:
		case m.ListedAt < r.byID[m.ID]:
			m.Listed, m.ListedAt = model.ListingRemoved, r.byID[m.ID]
		case m.ListedAt < r.completeAt:
			continue
		}
		out = append(out, m)
	}
	return out
}
