// Package throttle implements the adaptive throttle of a caller's node: while the gates of
// a service refuse requests for lack of capacity, it refuses a share of them before the
// first hop. It does no I/O and reads no clock; times and random numbers are arguments.
package throttle

import "time"

const (
	// bucketCount and bucketLength divide the sliding window of 2 s. Shorter windows
	// hold too few requests of one node.
	bucketCount  = 10
	bucketLength = 200 * time.Millisecond
	// maxShare is the largest share that is refused, so that some requests of each kind
	// reach the gates and recovery is detected.
	maxShare = 0.95
	// graceRequests is the number of refused requests in the window that have no effect,
	// so that a rarely used service is not throttled after a single refusal.
	graceRequests = 2
	// quietPeriod is the time without a refusal by a gate after which an accepted request
	// ends the throttling. Without it the share recovers by a factor of about 2 per
	// second only. While gates refuse requests of a node, they do so more often.
	quietPeriod = 500 * time.Millisecond
)

// counts are the requests of one level in one bucket or in the window. accepted includes
// requests whose outcome is not known yet, so that slow responses do not look like
// refusals.
type counts struct{ requests, accepted int }

func (c counts) refused() int { return max(c.requests-c.accepted, 0) }

type bucket struct {
	epoch  int64
	levels [levelCount]counts
}

// Throttle is the throttle of one service at one caller's node. It is not safe for
// concurrent use. The zero value refuses nothing.
type Throttle struct {
	buckets [bucketCount]bucket
	// epoch is the number of the newest bucket since the start of time.
	epoch int64
	total [levelCount]counts
	// lastRefusal is when a gate last refused a request of any level.
	lastRefusal time.Duration
}

// Ticket identifies an admitted request until its outcome is known.
type Ticket struct {
	epoch int64
	level Level
}

// Outcome is what became of an admitted request.
type Outcome uint8

const (
	// Unrelated means that the outcome says nothing about the capacity: no gate
	// responded, or the servers are down, draining or suspect a request.
	Unrelated Outcome = iota
	// Accepted means that a gate ran the request.
	Accepted
	// Refused means that gates refused the request for lack of capacity.
	Refused
)

// Admit decides on a new request. now counts from any fixed start; random is uniformly
// distributed over [0, 1). If the request is admitted, its outcome must be reported to
// Done.
func (t *Throttle) Admit(l Level, now time.Duration, random float64) (Ticket, bool) {
	b := t.advance(now)
	admitted := random >= t.shares()[l]
	t.add(b, l, 1, 0)
	if !admitted {
		return Ticket{}, false
	}
	t.add(b, l, 0, 1)
	return Ticket{epoch: t.epoch, level: l}, true
}

// Done records the outcome of an admitted request.
func (t *Throttle) Done(ticket Ticket, o Outcome, now time.Duration) {
	t.advance(now)
	b := &t.buckets[ticket.epoch%bucketCount]
	known := b.epoch == ticket.epoch // otherwise the request has left the window
	switch o {
	case Accepted:
		if now-t.lastRefusal >= quietPeriod {
			t.forgive()
		}
	case Refused:
		t.lastRefusal = now
		if known {
			t.add(b, ticket.level, 0, -1)
		}
	default:
		if known {
			t.add(b, ticket.level, -1, -1)
		}
	}
}

// forgive removes the refused requests from the window.
func (t *Throttle) forgive() {
	for i := range t.buckets {
		b := &t.buckets[i]
		for l := range b.levels {
			t.add(b, Level(l), -b.levels[l].refused(), 0)
		}
	}
}

// Share returns the share of the requests of a level that is refused now. It changes
// nothing, since it works on a copy.
func (t *Throttle) Share(l Level, now time.Duration) float64 {
	copied := *t
	copied.advance(now)
	return copied.shares()[l]
}

func (t *Throttle) add(b *bucket, l Level, requests, accepted int) {
	b.levels[l].requests += requests
	b.levels[l].accepted += accepted
	t.total[l].requests += requests
	t.total[l].accepted += accepted
}

// advance removes the buckets that have left the window and returns the newest one.
func (t *Throttle) advance(now time.Duration) *bucket {
	if epoch := int64(now / bucketLength); epoch > t.epoch {
		t.epoch = epoch
		for i := range t.buckets {
			if b := &t.buckets[i]; b.epoch <= epoch-bucketCount {
				t.drop(b)
			}
		}
	}
	b := &t.buckets[t.epoch%bucketCount]
	if b.epoch != t.epoch {
		t.drop(b)
		b.epoch = t.epoch
	}
	return b
}

// drop empties a bucket. Tickets of its time no longer match it.
func (t *Throttle) drop(b *bucket) {
	b.epoch = -1
	for l := range b.levels {
		t.add(b, Level(l), -b.levels[l].requests, -b.levels[l].accepted)
	}
}
