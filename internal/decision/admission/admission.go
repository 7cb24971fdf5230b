// Package admission decides which requests hold the slots of one backend
// server, which ones wait and which ones are refused before they run. It is
// pure: time is an argument, and the caller serialises the calls.
package admission

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Ticket identifies a request from its arrival until it finishes or is refused.
type Ticket uint64

// Limits are the bounds of one server.
type Limits struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// LongSlots is the number of slots that requests of ClassLong may hold.
	LongSlots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// KeepLate queues also requests that are predicted to miss their deadline.
	// It is a baseline for experiments.
	KeepLate bool
}

// longQueue bounds the waiting long requests, so that they never fill the queue.
func (l Limits) longQueue() int {
	if l.Slots <= 0 {
		return 0
	}
	return min(l.Queue, max(1, l.Queue*l.LongSlots/l.Slots))
}

// Request is a request that asks for a slot.
type Request struct {
	Ticket Ticket
	Class  model.Class
	// Kind names requests with like service times; empty means any of the class.
	Kind string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	Deadline time.Time
	// UsefulUntil is the time until which an answer is of full use; zero means
	// until the deadline.
	UsefulUntil time.Time
	// LastChance ranks a request before others of its priority, since its caller
	// has no time to come again and its work would be lost.
	LastChance bool
	// Patience is the longest wait for a slot after which another server would
	// be the better choice; zero means that there is none.
	Patience time.Duration
	// waitsUntil is when a request that still waits is refused, so that it can be
	// sent elsewhere.
	waitsUntil time.Time
	// queuedAt is when the request was queued; predicted is the wait that the
	// queue ahead of it told.
	queuedAt  time.Time
	predicted time.Duration
	// Exclusive requests run only while no other request holds a slot.
	Exclusive bool
}

// Verdict is the decision on one request.
type Verdict uint8

const (
	// Run means that the request holds a slot until Finish.
	Run Verdict = iota + 1
	// Wait means that the request is queued; a later call decides.
	Wait
	// Refuse means that the request does not run and is forgotten.
	Refuse
)

// Decision is the verdict on one request. Reason and RetryAfter are set for
// Refuse only.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	Reason     model.Reason
	RetryAfter time.Duration
}

// running is a request that holds a slot.
type running struct {
	class     model.Class
	kind      string
	exclusive bool
	since     time.Time
}

// State is the occupancy of one server.
type State struct {
	limits  Limits
	leaving bool
	running map[Ticket]running
	long    int
	// exclusiveRunning is true while an exclusive request holds a slot.
	exclusiveRunning bool
	// exclusiveEnd is when the last exclusive request freed its slot.
	exclusiveEnd time.Time
	// exclusive is the exclusive request that waits, if its ticket is not 0.
	exclusive  Request
	shortQueue queue
	longQueue  queue
	shortTime  average
	longTime   average
	kinds      map[string]*average
	stretches  [rankedPriorities]stretch
}

// New returns an empty state.
func New(limits Limits) *State {
	return &State{limits: limits, running: make(map[Ticket]running), kinds: make(map[string]*average)}
}

// Load is the occupancy that other nodes learn.
type Load struct {
	Running, Queued, Slots int
}

// Load returns the present occupancy.
func (s *State) Load() Load {
	queued := len(s.shortQueue) + len(s.longQueue)
	if s.exclusive.Ticket != 0 {
		queued++
	}
	return Load{Running: len(s.running), Queued: queued, Slots: s.limits.Slots}
}

// EstimateWait estimates how long a request like r would wait for a slot if it came now.
func (s *State) EstimateWait(r Request, now time.Time) time.Duration {
	if s.free(r.Class) {
		return 0
	}
	return s.predictedWait(r, now)
}

// Refusal returns the refusal that a request would get if it arrived now, and
// reports false if it would run or wait. Nothing changes.
func (s *State) Refusal(r Request, now time.Time) (Decision, bool) {
	switch {
	case s.leaving:
		return refuse(r.Ticket, model.ReasonLeaving, 0), true
	case !r.Deadline.After(now):
		return refuse(r.Ticket, model.ReasonLate, 0), true
	case r.Exclusive || s.free(r.Class):
		return Decision{}, false
	}
	wait := s.predictedWait(r, now)
	switch {
	case r.Patience > 0 && wait > r.Patience:
		return refuse(r.Ticket, model.ReasonBusy, wait), true
	case s.queueFull(r.Class):
		return refuse(r.Ticket, model.ReasonQueueFull, wait), true
	case !s.limits.KeepLate && s.hopeless(r, wait, now):
		return refuse(r.Ticket, model.ReasonLate, wait), true
	}
	return Decision{}, false
}

// Arrive decides on a new request.
func (s *State) Arrive(r Request, now time.Time) Decision {
	if refused, ok := s.Refusal(r, now); ok {
		return refused
	}
	switch {
	case r.Exclusive:
		return s.arriveExclusive(r, now)
	case s.free(r.Class):
		s.start(r, now)
		return Decision{Ticket: r.Ticket, Verdict: Run}
	}
	r.waitsUntil = s.waitsUntil(r, s.predictedWait(r, now), now)
	r.queuedAt, r.predicted = now, s.queueAhead(r, now)
	q := s.queue(r.Class)
	*q = append(*q, r)
	return Decision{Ticket: r.Ticket, Verdict: Wait}
}

// Finish frees the slot of a running request and returns the decisions on
// queued requests that follow.
func (s *State) Finish(t Ticket, now time.Time) []Decision {
	r, ok := s.running[t]
	if !ok {
		return nil
	}
	delete(s.running, t)
	if r.class == model.ClassLong {
		s.long--
	}
	if r.exclusive {
		s.endExclusive(now)
	}
	s.observe(r, now.Sub(r.since))
	return s.dispatch(now)
}

// Abandon removes a queued request whose caller no longer waits, or frees the
// slot of one that was started but never handed to the server.
func (s *State) Abandon(t Ticket, now time.Time) []Decision {
	if r, ok := s.running[t]; ok {
		r.since = now
		s.running[t] = r
		return s.finishUnused(t, now)
	}
	if s.exclusive.Ticket == t {
		s.exclusive = Request{}
		return s.dispatch(now)
	}
	if !s.shortQueue.remove(t) {
		s.longQueue.remove(t)
	}
	return nil
}

// Configure replaces the limits. Running requests keep their slots.
func (s *State) Configure(limits Limits, now time.Time) []Decision {
	if s.limits == limits {
		return nil
	}
	s.limits = limits
	return s.dispatch(now)
}

// Leave refuses all queued and all later requests; running ones go on.
func (s *State) Leave() []Decision {
	s.leaving = true
	var out []Decision
	for _, q := range []*queue{&s.shortQueue, &s.longQueue} {
		slices.SortStableFunc(*q, func(a, b Request) int { return a.Deadline.Compare(b.Deadline) })
		for _, r := range *q {
			out = append(out, refuse(r.Ticket, model.ReasonLeaving, 0))
		}
		*q = nil
	}
	if s.exclusive.Ticket != 0 {
		out = append(out, refuse(s.exclusive.Ticket, model.ReasonLeaving, 0))
		s.exclusive = Request{}
	}
	return out
}

// Leaving reports whether Leave was called.
func (s *State) Leaving() bool { return s.leaving }

func refuse(t Ticket, reason model.Reason, retryAfter time.Duration) Decision {
	return Decision{Ticket: t, Verdict: Refuse, Reason: reason, RetryAfter: retryAfter}
}
