package admission

import (
	"cmp"
	"time"
)

// queue holds waiting requests in order of arrival. The next one is found by a
// linear search: queues are short, and the order changes with time when a request
// can no longer meet its latency objective.
type queue []Request

// remove removes and returns the request with the ticket, and reports whether it was
// queued.
func (q *queue) remove(t Ticket) (Request, bool) {
	for i, r := range *q {
		if r.Ticket == t {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return r, true
		}
	}
	return Request{}, false
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

// compare orders requests by priority; then final attempts precede other requests;
// then requests that can still meet their latency objective precede the others;
// then by soft deadline, or by deadline if the objective cannot be met.
func (s *State) compare(a, b Request, now time.Time) int {
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.FinalAttempt != b.FinalAttempt {
		if a.FinalAttempt {
			return -1
		}
		return 1
	}
	aMeets, bMeets := s.meetsObjective(a, now), s.meetsObjective(b, now)
	switch {
	case aMeets && !bMeets:
		return -1
	case bMeets && !aMeets:
		return 1
	case aMeets:
		return a.softDeadline().Compare(b.softDeadline())
	default:
		return a.Deadline.Compare(b.Deadline)
	}
}

// softDeadline returns SoftDeadline, or the deadline if there is no latency
// objective.
func (r Request) softDeadline() time.Time {
	if r.SoftDeadline.IsZero() {
		return r.Deadline
	}
	return r.SoftDeadline
}

// meetsObjective reports whether a request that starts now is expected to finish
// within its latency objective.
func (s *State) meetsObjective(r Request, now time.Time) bool {
	return !now.Add(s.expectedServiceTime(r)).After(r.softDeadline())
}

// averageDivisor is the inverse of the weight of a new sample in an average.
const averageDivisor = 8

// average is an exponentially weighted moving average of service times.
type average struct {
	mean  time.Duration
	known bool
}

func (a *average) add(sample time.Duration) {
	if !a.known {
		a.mean, a.known = sample, true
		return
	}
	a.mean += (sample - a.mean) / averageDivisor
}

// value returns the average, or 0 without samples.
func (a *average) value() time.Duration { return a.mean }

// maxKinds is the maximum number of kinds with an average of their own. Further kinds
// use the average of their class.
const maxKinds = 64

// expectedServiceTime returns the average service time of the request's kind, or
// else of its class; 0 without samples.
func (s *State) expectedServiceTime(r Request) time.Duration {
	if kind := s.serviceTimeByKind[r.Kind]; kind != nil {
		return kind.value()
	}
	return s.average(r.Class).value()
}

// observe records the service time of a finished request.
func (s *State) observe(r running, took time.Duration) {
	s.average(r.class).add(took)
	if r.kind == "" {
		return
	}
	kind := s.serviceTimeByKind[r.kind]
	if kind == nil {
		if len(s.serviceTimeByKind) >= maxKinds {
			return
		}
		kind = &average{}
		s.serviceTimeByKind[r.kind] = kind
	}
	kind.add(took)
}
