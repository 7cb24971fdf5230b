package dependency

import "time"

const (
	// bucketLength is the resolution of a window.
	bucketLength = 50 * time.Millisecond
	// buckets is the number of buckets in a window.
	buckets = 10
	// windowLength is the time that a window covers. It is longer than usual runs, so that
	// the runs that start and those that end in it are comparable, and short enough for a
	// kind to be released soon.
	windowLength = buckets * bucketLength
)

// counts are the events of one kind, or of the calls to one service, in a time span.
type counts struct {
	// started and held count the requests that were admitted and refused.
	started, held int
	// ended counts runs that the server ended, or calls; failed counts the runs among
	// them that failed because of a call, or the calls that were not answered.
	ended, failed int
}

// sub removes the events of o.
func (c *counts) sub(o counts) {
	c.started -= o.started
	c.held -= o.held
	c.ended -= o.ended
	c.failed -= o.failed
}

// answeredShare returns the share of calls that were answered, 1 without calls.
func (c counts) answeredShare() float64 {
	return 1 - float64(c.failed)/float64(max(c.ended, 1))
}

// window holds the counts of the last windowLength.
type window struct {
	ring  [buckets]counts
	total counts
	// index is the number of the current bucket since the Unix epoch.
	index int64
}

// at drops the buckets that have left the window and returns the current bucket. Events
// must be added to the bucket and to total. A clock that is set back changes nothing.
func (w *window) at(now time.Time) *counts {
	index := now.UnixNano() / int64(bucketLength)
	if index-w.index >= buckets {
		*w = window{index: index}
	}
	for w.index < index {
		w.index++
		b := &w.ring[w.index%buckets]
		w.total.sub(*b)
		*b = counts{}
	}
	return &w.ring[w.index%buckets]
}

// addEnded adds a run or a call that ended.
func (w *window) addEnded(now time.Time, failed bool) {
	b := w.at(now)
	b.ended++
	w.total.ended++
	if failed {
		b.failed++
		w.total.failed++
	}
}
