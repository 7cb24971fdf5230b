package admission

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// exclusiveGap is the least time between two exclusive requests, so that many of
// them do not keep all others from the server.
const exclusiveGap = 100 * time.Millisecond

// arriveExclusive admits one exclusive request at a time, and none while a long
// request runs, since short work would wait until that one ends.
func (s *State) arriveExclusive(r Request, now time.Time) Decision {
	if next := s.exclusiveEnd.Add(exclusiveGap); now.Before(next) {
		return refuse(r.Ticket, model.ReasonSuspect, next.Sub(now))
	}
	if s.exclusiveRunning || s.exclusive.Ticket != 0 || s.long > 0 {
		return refuse(r.Ticket, model.ReasonSuspect, s.shortTime.value())
	}
	if len(s.running) == 0 {
		s.start(r, now)
		return Decision{Ticket: r.Ticket, Verdict: Run}
	}
	s.exclusive = r
	return Decision{Ticket: r.Ticket, Verdict: Wait}
}

// free reports whether a request of the class may start at once.
func (s *State) free(class model.Class) bool {
	if s.exclusiveRunning || s.exclusive.Ticket != 0 || len(s.running) >= s.limits.Slots {
		return false
	}
	return class != model.ClassLong || s.long < s.limits.LongSlots
}

func (s *State) start(r Request, now time.Time) {
	s.running[r.Ticket] = running{class: r.Class, kind: r.Kind, exclusive: r.Exclusive, since: now}
	if r.Class == model.ClassLong {
		s.long++
	}
	if r.Exclusive {
		s.exclusiveRunning = true
	}
}

func (s *State) endExclusive(now time.Time) {
	s.exclusiveRunning = false
	s.exclusiveEnd = now
}

// finishUnused frees a slot without a sample of the service time.
func (s *State) finishUnused(t Ticket, now time.Time) []Decision {
	r := s.running[t]
	delete(s.running, t)
	if r.class == model.ClassLong {
		s.long--
	}
	if r.exclusive {
		s.endExclusive(now)
	}
	return s.dispatch(now)
}

// dispatch starts queued requests while slots are free, in order of their rank,
// and refuses those that can no longer finish in time.
func (s *State) dispatch(now time.Time) []Decision {
	if s.exclusive.Ticket != 0 {
		return s.dispatchExclusive(now)
	}
	var out []Decision
	for {
		q, i := s.next(now)
		if q == nil {
			return append(out, s.refuseOverdue(now)...)
		}
		r := (*q)[i]
		*q = slices.Delete(*q, i, i+1)
		s.noteWait(r, now)
		if now.Add(s.expected(r)).After(r.Deadline) || !r.Deadline.After(now) {
			out = append(out, refuse(r.Ticket, model.ReasonLate, 0))
			continue
		}
		s.start(r, now)
		out = append(out, Decision{Ticket: r.Ticket, Verdict: Run})
	}
}

func (s *State) dispatchExclusive(now time.Time) []Decision {
	r := s.exclusive
	if !r.Deadline.After(now) {
		s.exclusive = Request{}
		return append([]Decision{refuse(r.Ticket, model.ReasonLate, 0)}, s.dispatch(now)...)
	}
	if len(s.running) > 0 {
		return nil
	}
	s.exclusive = Request{}
	s.start(r, now)
	return []Decision{{Ticket: r.Ticket, Verdict: Run}}
}

// next returns the place of the request that starts next, or nil if none may.
func (s *State) next(now time.Time) (*queue, int) {
	var best *queue
	position := 0
	for _, candidate := range []struct {
		queue *queue
		class model.Class
	}{{&s.shortQueue, model.ClassShort}, {&s.longQueue, model.ClassLong}} {
		q := *candidate.queue
		if len(q) == 0 || !s.free(candidate.class) {
			continue
		}
		i := s.first(q, now)
		if best == nil || s.compare(q[i], (*best)[position], now) < 0 {
			best, position = candidate.queue, i
		}
	}
	return best, position
}

func (s *State) queue(class model.Class) *queue {
	if class == model.ClassLong {
		return &s.longQueue
	}
	return &s.shortQueue
}

func (s *State) queueFull(class model.Class) bool {
	if len(s.shortQueue)+len(s.longQueue) >= s.limits.Queue {
		return true
	}
	return class == model.ClassLong && len(s.longQueue) >= s.limits.longQueue()
}

func (s *State) average(class model.Class) *average {
	if class == model.ClassLong {
		return &s.longTime
	}
	return &s.shortTime
}

// predictedWait estimates how long a request waits for a slot.
func (s *State) predictedWait(r Request, now time.Time) time.Duration {
	return time.Duration(float64(s.queueAhead(r, now)) * s.stretch(r).factor(now))
}

// queueAhead estimates the time in which the queued requests of its class that
// go before a request get their slots, from recent service times.
func (s *State) queueAhead(r Request, now time.Time) time.Duration {
	slots := s.limits.LongSlots
	if r.Class != model.ClassLong {
		slots = s.limits.Slots - s.long
	}
	ahead := s.countBefore(*s.queue(r.Class), r, now)
	return s.average(r.Class).value() * time.Duration(ahead+1) / time.Duration(max(1, slots))
}

// hopeless reports whether a request would not finish in time after a wait. One
// whose answer could be of full use must finish while it is; of the others only
// those may wait that start soon, since they would hold up their callers.
func (s *State) hopeless(r Request, wait time.Duration, now time.Time) bool {
	service := s.expected(r)
	end := now.Add(wait + service)
	switch {
	case end.After(r.Deadline):
		return true
	case !end.After(r.due()):
		return false
	default:
		return wait > service
	}
}

// waitsUntil returns how long a request may wait. One whose answer could be of
// full use leaves when half of the time for that is over, unless a longer wait
// was expected, so that another server still has the other half; any other
// request waits about as long as it was expected to.
func (s *State) waitsUntil(r Request, wait time.Duration, now time.Time) time.Time {
	if s.limits.KeepLate || r.UsefulUntil.IsZero() {
		return r.Deadline
	}
	if s.useful(r, now.Add(wait)) {
		return now.Add(max(2*wait, r.UsefulUntil.Sub(now)/2))
	}
	return now.Add(wait + s.expected(r))
}

// refuseOverdue refuses the requests that found no slot and have waited for
// longer than they may.
func (s *State) refuseOverdue(now time.Time) []Decision {
	var out []Decision
	for _, class := range []model.Class{model.ClassShort, model.ClassLong} {
		q := s.queue(class)
		kept := (*q)[:0]
		for _, r := range *q {
			if now.After(r.waitsUntil) {
				s.noteWait(r, now)
				out = append(out, refuse(r.Ticket, model.ReasonLate, s.average(class).value()))
				continue
			}
			kept = append(kept, r)
		}
		clear((*q)[len(kept):])
		*q = kept
	}
	return out
}
