package admission

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Pacer limits how many requests start in a time, whatever the number of free slots.
type Pacer interface {
	// Delay returns how long until one more request may start, if ahead others start
	// first; 0 means immediately.
	Delay(ahead int, now time.Time) time.Duration
	// Reserve counts a request that got a slot. It is followed by one Send or Cancel.
	Reserve()
	// Send records that a reserved request is sent to the server now.
	Send(now time.Time)
	// Cancel records that a reserved request will not be sent.
	Cancel()
	// Remove removes a request that was sent at the given time from the count.
	Remove(at time.Time)
}

// SetPacer makes the pacer limit the requests that start from now on; nil ends the limit.
// Running requests keep theirs.
func (s *State) SetPacer(p Pacer) { s.pacer = p }

// paceDelay returns the pacer's delay, or 0 without a pacer.
func (s *State) paceDelay(ahead int, now time.Time) time.Duration {
	if s.pacer == nil {
		return 0
	}
	return s.pacer.Delay(ahead, now)
}

// paceDelayOf returns how long the pacer delays a request behind the queued requests that
// precede it. Both classes share the pacer.
func (s *State) paceDelayOf(r Request, now time.Time) time.Duration {
	if s.pacer == nil {
		return 0
	}
	return s.pacer.Delay(s.preceding(r, now), now)
}

// preceding returns the number of queued requests of both classes that precede a request.
func (s *State) preceding(r Request, now time.Time) int {
	ahead := 0
	if s.exclusive.Ticket != 0 {
		ahead = 1
	}
	for _, q := range []queue{s.shortQueue, s.longQueue} {
		for _, other := range q {
			if s.compare(other, r, now) <= 0 {
				ahead++
			}
		}
	}
	return ahead
}

// Sent records that a running request is sent to the server now.
func (s *State) Sent(t Ticket, now time.Time) {
	if r, ok := s.running[t]; ok && r.reservedAt != nil {
		r.reservedAt.Send(now)
		r.sentBy, r.reservedAt, r.sent = r.reservedAt, nil, now
		s.running[t] = r
	}
}

// Uncounted records that a running request that was sent did not count at the server.
func (s *State) Uncounted(t Ticket) {
	if r, ok := s.running[t]; ok && r.sentBy != nil {
		r.sentBy.Remove(r.sent)
		r.sentBy = nil
		s.running[t] = r
	}
}

// cancelReservation ends the reservation of a request that was not sent.
func (r running) cancelReservation() {
	if r.reservedAt != nil {
		r.reservedAt.Cancel()
	}
}

// Wake returns the decisions on queued requests that follow from the passage of time.
func (s *State) Wake(now time.Time) []Decision { return s.dispatch(now) }

// WakeAt returns when Wake must be called, if only the pacer holds back queued requests
// now: when the next may start, or when one has waited too long before. It reports false
// if nothing waits for the pacer.
func (s *State) WakeAt(now time.Time) (time.Time, bool) {
	if s.pacer == nil || !s.waitsForPacer() {
		return time.Time{}, false
	}
	at := now.Add(s.pacer.Delay(0, now))
	for _, q := range []queue{s.shortQueue, s.longQueue} {
		for _, r := range q {
			if overdue := r.queueDeadline.Add(time.Nanosecond); overdue.Before(at) {
				at = overdue
			}
		}
	}
	return at, true
}

// waitsForPacer reports whether a queued request has a free slot.
func (s *State) waitsForPacer() bool {
	if s.exclusive.Ticket != 0 {
		return len(s.running) == 0
	}
	return len(s.shortQueue) > 0 && s.slotFree(model.ClassShort) || len(s.longQueue) > 0 && s.slotFree(model.ClassLong)
}

// startsAtOnce reports whether a new request of the class starts at once. Where the pacer
// has let time pass, queued requests go first.
func (s *State) startsAtOnce(class model.Class, now time.Time) bool {
	if !s.free(class, now) {
		return false
	}
	if s.pacer == nil {
		return true
	}
	q, _ := s.next(now)
	return q == nil
}
