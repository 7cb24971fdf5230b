package platformread

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// heldRecords are records of the platform that take effect later. The zero value holds
// none.
type heldRecords map[model.InstanceID]heldRecord

// heldRecord is a record that was first seen at the time seen and passes at the time due.
type heldRecord struct {
	record    model.Member
	seen, due time.Time
}

func (h *heldRecords) add(r heldRecord) {
	if *h == nil {
		*h = make(heldRecords)
	}
	(*h)[r.record.ID] = r
}

// release returns the records that are due, and removes them.
func (h heldRecords) release(now time.Time) []model.Member {
	var out []model.Member
	for id, r := range h {
		if !now.Before(r.due) {
			out = append(out, r.record)
			delete(h, id)
		}
	}
	return out
}

// wait returns the time until the first record is due, at most longest.
func (h heldRecords) wait(longest time.Duration, now time.Time) time.Duration {
	for _, r := range h {
		longest = min(longest, max(r.due.Sub(now), 0))
	}
	return longest
}
