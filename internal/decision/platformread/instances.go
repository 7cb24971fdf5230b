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

// wasListed reports whether the platform listed the instance before revision and has
// not removed it since.
func wasListed(m model.Member, revision model.Revision) bool {
	return m.ListedAt > 0 && m.ListedAt < revision && m.Listed != model.ListingRemoved
}
