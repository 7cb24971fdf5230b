package admission

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// exclusiveGap is the minimum time from the end of an exclusive request to the
// arrival of the next one that is admitted, so that many of them do not starve all
// others.
const exclusiveGap = 100 * time.Millisecond

// forecastExclusive decides on an exclusive request. It admits one at a time, and none
// while a long request runs, since short requests would have to wait until the long
// one has finished.
func (s *State) forecastExclusive(r Request, now time.Time) Decision {
	if next := s.exclusiveEnd.Add(exclusiveGap); now.Before(next) {
		return refuse(r.Ticket, model.ReasonSuspect, next.Sub(now))
	}
	if s.exclusiveRunning || s.exclusive.Ticket != 0 || s.longRunning > 0 {
		return refuse(r.Ticket, model.ReasonSuspect, s.shortServiceTime.value())
	}
	if len(s.running) == 0 && s.paceDelay(0, now) == 0 {
		return Decision{Ticket: r.Ticket, Verdict: Run}
	}
	return Decision{Ticket: r.Ticket, Verdict: Wait}
}

// free reports whether a request of the class can start immediately.
func (s *State) free(class model.Class, now time.Time) bool {
	return s.slotFree(class) && s.paceDelay(0, now) == 0
}

// slotFree reports whether a slot is free for a request of the class. None is while an
// exclusive request runs or is queued.
func (s *State) slotFree(class model.Class) bool {
	if s.exclusiveRunning || s.exclusive.Ticket != 0 || len(s.running) >= s.limits.Slots {
		return false
	}
	return class != model.ClassLong || s.longRunning < s.limits.LongSlots
}

func (s *State) start(r Request, now time.Time) {
	if s.pacer != nil {
		s.pacer.Reserve()
	}
	s.running[r.Ticket] = running{class: r.Class, kind: r.Kind, exclusive: r.Exclusive, since: now, reservedAt: s.pacer}
	if r.Class == model.ClassLong {
		s.longRunning++
	}
	if r.Exclusive {
		s.exclusiveRunning = true
	}
}

func (s *State) endExclusive(now time.Time) {
	s.exclusiveRunning = false
	s.exclusiveEnd = now
}

// releaseSlot frees a slot without recording a service time.
func (s *State) releaseSlot(t Ticket, now time.Time) []Decision {
	r := s.running[t]
	delete(s.running, t)
	r.cancelReservation()
	if r.class == model.ClassLong {
		s.longRunning--
	}
	if r.exclusive {
		s.endExclusive(now)
	}
	return s.dispatch(now)
}

// dispatch starts queued requests in the order of compare while slots are free,
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
		s.recordWait(r, now)
		if now.Add(s.expectedServiceTime(r)).After(r.Deadline) || !r.Deadline.After(now) {
			s.recordUnserved(r, now)
			out = append(out, refuse(r.Ticket, model.ReasonLate, 0))
			continue
		}
		s.recordStarted(r, now)
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
	if len(s.running) > 0 || s.paceDelay(0, now) > 0 {
		return nil
	}
	s.exclusive = Request{}
	s.start(r, now)
	return []Decision{{Ticket: r.Ticket, Verdict: Run}}
}

// next returns the queue and the position of the request that starts next. The
// queue is nil if no queued request can start.
func (s *State) next(now time.Time) (*queue, int) {
	var best *queue
	position := 0
	for _, candidate := range []struct {
		queue *queue
		class model.Class
	}{{&s.shortQueue, model.ClassShort}, {&s.longQueue, model.ClassLong}} {
		q := *candidate.queue
		if len(q) == 0 || !s.free(candidate.class, now) {
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
	return class == model.ClassLong && len(s.longQueue) >= s.limits.longQueueLimit()
}

func (s *State) average(class model.Class) *average {
	if class == model.ClassLong {
		return &s.longServiceTime
	}
	return &s.shortServiceTime
}

// predictedWait estimates how long a request waits for a slot: queueDelay,
// corrected by the wait ratio of its priority.
func (s *State) predictedWait(r Request, now time.Time) time.Duration {
	return time.Duration(float64(s.queueDelay(r, now)) * s.waitRatio(r).factor(now))
}

// queueDelay estimates, from recent service times, how long it takes until the
// queued requests of r's class that precede it have started and a slot is free
// for r, and the pacer lets it start. Each kind counts with its own service time: short calls wait behind many
// others of their kind for less time than behind one long request.
func (s *State) queueDelay(r Request, now time.Time) time.Duration {
	slots := s.limits.LongSlots
	if r.Class != model.ClassLong {
		slots = s.limits.Slots - s.longRunning
	}
	work := s.runningServiceTime(r.Class)
	for _, other := range *s.queue(r.Class) {
		if s.compare(other, r, now) <= 0 {
			work += s.expectedServiceTime(other)
		}
	}
	return max(work/time.Duration(max(1, slots)), s.paceDelayOf(r, now))
}

// runningServiceTime returns the average of the expected service times of the running
// requests of a class; without one, that of the class.
func (s *State) runningServiceTime(class model.Class) time.Duration {
	var total time.Duration
	count := 0
	for _, running := range s.running {
		if running.class == class {
			total += s.expectedServiceTime(Request{Class: class, Kind: running.kind})
			count++
		}
	}
	if count == 0 {
		return s.average(class).value()
	}
	return total / time.Duration(count)
}

// tooLate reports whether a request that waits this long is refused because it
// would finish too late. A request that would miss its deadline always is. One
// that would miss only its latency objective is refused if it would wait longer
// than it runs, since a long wait would delay its caller further. While the pacer limits
// the starts, it is refused if a queued request precedes it: each start that it gets makes
// another request late, too.
func (s *State) tooLate(r Request, wait time.Duration, now time.Time) bool {
	serviceTime := s.expectedServiceTime(r)
	end := now.Add(wait + serviceTime)
	switch {
	case end.After(r.Deadline):
		return true
	case !end.After(r.softDeadline()):
		return false
	case !r.FinalAttempt && s.paceDelay(0, now) > 0 && s.preceding(r, now) > 0:
		return true
	default:
		return wait > serviceTime
	}
}

// queueDeadline returns the time until which a request may stay queued. One that
// can meet its latency objective may wait for half of the time left for it, or for
// twice the predicted wait if that is longer, so that time remains for another
// server. One that cannot may wait for the predicted wait plus one service time.
// Without an objective, or with KeepLate, the deadline applies.
func (s *State) queueDeadline(r Request, wait time.Duration, now time.Time) time.Time {
	if s.limits.KeepLate || r.SoftDeadline.IsZero() {
		return r.Deadline
	}
	if s.meetsObjective(r, now.Add(wait)) {
		return now.Add(max(2*wait, r.SoftDeadline.Sub(now)/2))
	}
	return now.Add(wait + s.expectedServiceTime(r))
}

// refuseOverdue refuses the queued requests whose queueDeadline has passed.
func (s *State) refuseOverdue(now time.Time) []Decision {
	var out []Decision
	queued := len(s.shortQueue) + len(s.longQueue)
	for _, class := range []model.Class{model.ClassShort, model.ClassLong} {
		q := s.queue(class)
		kept := (*q)[:0]
		for _, r := range *q {
			if now.After(r.queueDeadline) {
				s.recordWait(r, now)
				s.recordUnserved(r, now)
				out = append(out, refuse(r.Ticket, model.ReasonLate, max(s.average(class).value(), s.paceDelay(queued, now))))
				continue
			}
			kept = append(kept, r)
		}
		clear((*q)[len(kept):])
		*q = kept
	}
	return out
}
