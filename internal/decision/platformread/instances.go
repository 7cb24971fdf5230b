package platformread

import (
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// RemovedInstances returns removal records for the instances that the platform
// listed before revision and that are missing in the complete listing at revision.
func RemovedInstances(view *members.View, revision model.Revision, complete []model.Member) []model.Member {
	present := make(map[model.InstanceID]struct{}, len(complete))
	for _, m := range complete {
		present[m.ID] = struct{}{}
	}
	var removed []model.Member
	for _, known := range view.All() {
		if _, ok := present[known.ID]; ok || !wasListed(known, revision) {
			continue
		}
		known.Listed, known.ListedAt = model.ListingRemoved, revision
		removed = append(removed, known)
	}
	return removed
}

// Removal says that the platform lists an instance no more, by its ID alone.
type Removal struct {
	ID model.InstanceID
	// Revision is the revision of the removal.
	Revision model.Revision
}

// RemovalRecords returns removal records for those of the removed instances that are
// known and were listed before, and the removals of those that are not known.
func RemovalRecords(view *members.View, removals []Removal) (removed []model.Member, unknown []Removal) {
	for _, r := range removals {
		known, ok := view.Get(r.ID)
		switch {
		case !ok:
			unknown = append(unknown, r)
		case wasListed(known, r.Revision):
			known.Listed, known.ListedAt = model.ListingRemoved, r.Revision
			removed = append(removed, known)
		}
	}
	return removed, unknown
}

// wasListed reports whether the platform listed the instance before revision and has
// not removed it since.
func wasListed(m model.Member, revision model.Revision) bool {
	return m.ListedAt > 0 && m.ListedAt < revision && m.Listed != model.ListingRemoved
}
