package admission

import (
	"cmp"
	"time"
)

// queue holds waiting requests in order of arrival. It is short, so the next
// one is searched for whenever it is needed: the rank of a request changes when
// it can no longer be answered while that is of full use.
type queue []Request

// remove reports whether the ticket was queued.
func (q *queue) remove(t Ticket) bool {
	for i, r := range *q {
		if r.Ticket == t {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

// first returns the position of the request that is served next. The queue must
// not be empty.
func (s *State) first(q queue, now time.Time) int {
	best := 0
	for i := range q {
		if s.compare(q[i], q[best], now) < 0 {
			best = i
		}
	}
	return best
}

// countBefore returns the number of requests that are served before one that
// arrives now.
func (s *State) countBefore(q queue, r Request, now time.Time) int {
	n := 0
	for _, other := range q {
		if s.compare(other, r, now) <= 0 {
			n++
		}
	}
	return n
}

// compare orders requests by priority; then those whose callers cannot come
// again go before the others; then those that can still be answered
// while that is of full use go before the others; then the one that is due
// earlier.
func (s *State) compare(a, b Request, now time.Time) int {
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.LastChance != b.LastChance {
		if a.LastChance {
			return -1
		}
		return 1
	}
	aUseful, bUseful := s.useful(a, now), s.useful(b, now)
	switch {
	case aUseful && !bUseful:
		return -1
	case bUseful && !aUseful:
		return 1
	case aUseful:
		return a.due().Compare(b.due())
	default:
		return a.Deadline.Compare(b.Deadline)
	}
}

// due returns the time until which an answer is of full use.
func (r Request) due() time.Time {
	if r.UsefulUntil.IsZero() {
		return r.Deadline
	}
	return r.UsefulUntil
}

// useful reports whether a request that starts now can be answered while that is
// of full use.
func (s *State) useful(r Request, now time.Time) bool {
	return !now.Add(s.expected(r)).After(r.due())
}

// averageWeight is the share of a new sample in the average, as 1/averageWeight.
const averageWeight = 8

// average is an exponentially weighted mean of service times.
type average struct {
	mean  time.Duration
	known bool
}

func (a *average) add(sample time.Duration) {
	if !a.known {
		a.mean, a.known = sample, true
		return
	}
	a.mean += (sample - a.mean) / averageWeight
}

// value returns 0 until there is a sample.
func (a *average) value() time.Duration { return a.mean }

// maxKinds bounds the kinds of requests whose service times are kept apart.
const maxKinds = 64

// expected returns the service time to expect, 0 if nothing is known.
func (s *State) expected(r Request) time.Duration {
	if kind := s.kinds[r.Kind]; kind != nil {
		return kind.value()
	}
	return s.average(r.Class).value()
}

// observe adds a service time.
func (s *State) observe(r running, took time.Duration) {
	s.average(r.class).add(took)
	if r.kind == "" {
		return
	}
	kind := s.kinds[r.kind]
	if kind == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		kind = &average{}
		s.kinds[r.kind] = kind
	}
	kind.add(took)
}
