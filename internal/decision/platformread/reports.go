package platformread

import "github.com/galenalever/galenalever/internal/model"

// Reports holds what each server last wrote about itself, so that the platform can carry out
// a write so late that it overwrites later ones. The zero value is empty. It is not safe
// for concurrent use.
type Reports struct{ byID map[model.InstanceID]report }

// report is what a server wrote about itself, or its removal.
type report struct {
	member model.Member
	// sequence is the number of the report since the server's start; 0 means unknown.
	sequence uint64
}

// Add records a report that the platform has stored and returns the record of the server: the
// report, or an earlier one of the same start with a greater sequence, at the revision of the
// report.
func (r *Reports) Add(m model.Member, sequence uint64) model.Member {
	next := report{member: m, sequence: sequence}
	if last, ok := r.byID[m.ID]; ok && next.olderThan(last) {
		next = last
		next.member.ListedAt = m.ListedAt
	}
	if r.byID == nil {
		r.byID = make(map[model.InstanceID]report)
	}
	r.byID[m.ID] = next
	return next.member
}

func (r report) olderThan(last report) bool {
	sameStart := r.member.Started != 0 && r.member.Started == last.member.Started
	return sameStart && r.sequence != 0 && r.sequence < last.sequence
}

// Remove records that the platform no longer lists a server, and returns the record of the
// removal. known is false if the server has not reported before; the record then has only
// its ID. Any later report of a server that was live ends the removal, since its entry may
// only have expired.
func (r *Reports) Remove(id model.InstanceID, at model.Revision) (removed model.Member, known bool) {
	last, known := r.byID[id]
	if last.member.Listed == model.ListingLive {
		last.sequence = 0
	}
	last.member.ID, last.member.Listed, last.member.ListedAt = id, model.ListingRemoved, at
	if known {
		r.byID[id] = last
	}
	return last.member, known
}
