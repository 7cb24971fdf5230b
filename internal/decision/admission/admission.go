// Package admission implements the admission control of one backend server: it
// decides which requests get a slot, which are queued and which are refused
// before they run. It does no I/O and reads no clock; the current time is an
// argument. A State is not safe for concurrent use.
package admission

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Ticket identifies a request from its arrival until it finishes or is refused.
type Ticket uint64

// Limits configures the concurrency and the queue of one server.
type Limits struct {
	// Slots is the maximum number of concurrent requests.
	Slots int
	// LongSlots is the maximum number of slots held by requests of ClassLong.
	LongSlots int
	// Queue is the maximum number of requests that wait for a slot.
	Queue int
	// KeepLate also queues requests that are predicted to miss their deadline, as
	// a baseline for experiments.
	KeepLate bool
}

// longQueueLimit returns the maximum number of queued long requests: their share
// of the queue is that of LongSlots in Slots, but at least 1, so that they do not
// fill it.
func (l Limits) longQueueLimit() int {
	if l.Slots <= 0 {
		return 0
	}
	return min(l.Queue, max(1, l.Queue*l.LongSlots/l.Slots))
}

// Request is a request that needs a slot.
type Request struct {
	Ticket Ticket
	Class  model.Class
	// Kind groups requests with similar service times, for example by route; empty
	// means that only the average of the class is used.
	Kind string
	// Priority orders the queue; 0 is the most urgent.
	Priority int
	Deadline time.Time
	// SoftDeadline is the time until which a response meets the latency objective.
	// Zero means the deadline.
	SoftDeadline time.Time
	// FinalAttempt puts the request before others of its priority: its caller has no
	// time left to retry when refused, so a refusal would lose the caller's work.
	FinalAttempt bool
	// MaxQueueWait is the longest predicted wait for a slot; beyond it the request
	// is refused, because another server is the better choice. Zero means no limit.
	MaxQueueWait time.Duration
	// queueDeadline is when a request that is still queued is refused, so that it
	// can be sent to another server.
	queueDeadline time.Time
	// queuedAt is when the request was queued; predictedDelay is the result of
	// State.queueDelay at that time.
	queuedAt       time.Time
	predictedDelay time.Duration
	// Exclusive requests run only while no other request holds a slot.
	Exclusive bool
}

// Verdict is the decision on one request.
type Verdict uint8

const (
	// Run means that the request holds a slot until Finish or Abandon.
	Run Verdict = iota + 1
	// Wait means that the request is queued; the decisions that later calls return
	// include it.
	Wait
	// Refuse means that the request does not run; its ticket is no longer known.
	Refuse
)

// Decision is the verdict on one request. Reason and RetryAfter are set for Refuse
// only. A RetryAfter of 0 means that the time until a retry makes sense is unknown.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	Reason     model.Reason
	RetryAfter time.Duration
	// Displaced is true if the request was refused by the admission level of its priority.
	Displaced bool
}

// running is a request that holds a slot.
type running struct {
	class     model.Class
	kind      string
	exclusive bool
	since     time.Time
	// reservedAt is the pacer that counts the request until it is sent, sentBy the one
	// that has counted it at the time sent; nil if there is none.
	reservedAt, sentBy Pacer
	sent               time.Time
}

// State holds the running and queued requests of one server.
type State struct {
	limits      Limits
	pacer       Pacer // nil if only slots limit the requests
	leaving     bool
	running     map[Ticket]running
	longRunning int
	// exclusiveRunning is true while an exclusive request holds a slot.
	exclusiveRunning bool
	// exclusiveEnd is when the last exclusive request freed its slot.
	exclusiveEnd time.Time
	// exclusive is the queued exclusive request; a ticket of 0 means none.
	exclusive         Request
	shortQueue        queue
	longQueue         queue
	shortServiceTime  average
	longServiceTime   average
	serviceTimeByKind map[string]*average
	waitRatios        [trackedPriorities]waitRatio
	levels            [levelCount]admissionLevel
}

// New returns a State without requests.
func New(limits Limits) *State {
	return &State{limits: limits, running: make(map[Ticket]running), serviceTimeByKind: make(map[string]*average)}
}

// Load is the occupancy of a server as reported to other nodes.
type Load struct {
	Running, Queued, Slots int
}

// Load returns the current occupancy.
func (s *State) Load() Load {
	queued := len(s.shortQueue) + len(s.longQueue)
	if s.exclusive.Ticket != 0 {
		queued++
	}
	return Load{Running: len(s.running), Queued: queued, Slots: s.limits.Slots}
}

// EstimateWait estimates how long a request like r would wait for a slot if it
// arrived now.
func (s *State) EstimateWait(r Request, now time.Time) time.Duration {
	if s.startsAtOnce(r.Class, now) {
		return 0
	}
	return s.predictedWait(r, now)
}

// Refusal returns the refusal that r would get if it arrived now, or reports false
// if r would run or wait. For an exclusive request it checks only the deadline and
// whether the instance is leaving. It does not change the state.
func (s *State) Refusal(r Request, now time.Time) (Decision, bool) {
	switch {
	case s.leaving:
		return refuse(r.Ticket, model.ReasonLeaving, 0), true
	case !r.Deadline.After(now):
		return refuse(r.Ticket, model.ReasonLate, 0), true
	case r.Exclusive || s.startsAtOnce(r.Class, now):
		return Decision{}, false
	}
	wait := s.predictedWait(r, now)
	switch {
	case r.MaxQueueWait > 0 && wait > r.MaxQueueWait:
		return refuse(r.Ticket, model.ReasonBusy, wait), true
	case s.queueFull(r.Class):
		return refuse(r.Ticket, model.ReasonQueueFull, wait), true
	case !s.limits.KeepLate && s.tooLate(r, wait, now):
		return refuse(r.Ticket, model.ReasonLate, wait), true
	case !s.limits.KeepLate && s.displaced(r, now):
		d := refuse(r.Ticket, model.ReasonLate, wait)
		d.Displaced = true
		return d, true
	}
	return Decision{}, false
}

// Forecast returns the decision on r if it arrived now. It does not change the state.
func (s *State) Forecast(r Request, now time.Time) Decision {
	if refused, ok := s.Refusal(r, now); ok {
		return refused
	}
	switch {
	case r.Exclusive:
		return s.forecastExclusive(r, now)
	case s.startsAtOnce(r.Class, now):
		return Decision{Ticket: r.Ticket, Verdict: Run}
	}
	return Decision{Ticket: r.Ticket, Verdict: Wait}
}

// Arrive decides on a new request as Forecast does, and starts or queues it unless it is
// refused.
func (s *State) Arrive(r Request, now time.Time) Decision {
	d := s.Forecast(r, now)
	switch {
	case d.Verdict == Run:
		s.start(r, now)
	case d.Verdict == Wait:
		s.enqueue(r, now)
	case d.Displaced:
		s.spendCredit(r, false, now)
	}
	return d
}

func (s *State) enqueue(r Request, now time.Time) {
	if r.Exclusive {
		r.queueDeadline = r.Deadline
		s.exclusive = r
		return
	}
	r.queueDeadline = s.queueDeadline(r, s.predictedWait(r, now), now)
	r.queuedAt, r.predictedDelay = now, s.queueDelay(r, now)
	s.spendCredit(r, true, now)
	q := s.queue(r.Class)
	*q = append(*q, r)
}

// StartBy returns the latest time at which a queued request like r starts. After it, the
// request is not expected to end by its deadline, and a slot that becomes free is not
// given to it.
func (s *State) StartBy(r Request) time.Time { return r.Deadline.Add(-s.expectedServiceTime(r)) }

// Finish frees the slot of a running request, records its service time and
// returns the resulting decisions on queued requests.
func (s *State) Finish(t Ticket, now time.Time) []Decision {
	r, ok := s.running[t]
	if !ok {
		return nil
	}
	delete(s.running, t)
	r.cancelReservation()
	if r.class == model.ClassLong {
		s.longRunning--
	}
	if r.exclusive {
		s.endExclusive(now)
	}
	s.observe(r, now.Sub(r.since))
	return s.dispatch(now)
}

// Abandon removes a queued request whose caller no longer waits, or frees the slot
// of a running one without recording its service time, because it was not sent to
// the server or the server did not finish it. It returns the resulting decisions on
// queued requests.
func (s *State) Abandon(t Ticket, now time.Time) []Decision {
	if r, ok := s.running[t]; ok {
		r.since = now
		s.running[t] = r
		return s.releaseSlot(t, now)
	}
	if s.exclusive.Ticket == t {
		s.exclusive = Request{}
		return s.dispatch(now)
	}
	for _, q := range []*queue{&s.shortQueue, &s.longQueue} {
		if r, ok := q.remove(t); ok {
			s.recordAbandoned(r, now)
			break
		}
	}
	return nil
}

// Configure replaces the limits and returns the resulting decisions on queued
// requests. Running requests keep their slots.
func (s *State) Configure(limits Limits, now time.Time) []Decision {
	if s.limits == limits {
		return nil
	}
	s.limits = limits
	return s.dispatch(now)
}

// Leave refuses all queued and all later requests, because the instance is
// leaving. Running requests keep their slots.
func (s *State) Leave() []Decision {
	s.leaving = true
	return s.RefuseQueued(model.ReasonLeaving)
}

// Leaving reports whether Leave was called.
func (s *State) Leaving() bool { return s.leaving }

func refuse(t Ticket, reason model.Reason, retryAfter time.Duration) Decision {
	return Decision{Ticket: t, Verdict: Refuse, Reason: reason, RetryAfter: retryAfter}
}
