package gate

import (
	"context"
	"errors"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/admission"
	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/model"
)

// step is what follows for a call: a refusal, the answer to a repeat, or a
// decision on a slot.
type step struct {
	refused *refusal
	repeat  dedupe.Decision
	slot    admission.Decision
}

// begin decides on a call in one critical section. A repeat is answered from
// memory even if new requests are refused.
func (s *Service) begin(c *call, refused *refusal) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets++
	c.ticket = s.tickets
	waiter := dedupe.Waiter(c.ticket)
	now := s.clock.Now()
	if d, known := s.memory.Lookup(waiter, c.keys, c.identity, now); known {
		if d.Verdict == dedupe.Wait {
			c.repeat = make(chan dedupe.Decision, 1)
			s.repeats[waiter] = c.repeat
		}
		return step{repeat: d}
	}
	if refused != nil {
		return step{refused: refused}
	}
	if !c.Idempotent {
		d := s.memory.Begin(waiter, c.keys, c.identity, now)
		if d.Verdict != dedupe.Run {
			return step{repeat: d}
		}
		c.entry = d.Entry
	}
	return step{slot: s.arrive(c)}
}

// arrive asks for a slot. The critical section must be held.
func (s *Service) arrive(c *call) admission.Decision {
	d := s.admission.Arrive(c.slotRequest(), s.clock.Now())
	if d.Verdict == admission.Refuse {
		return d
	}
	c.admitted, c.counted = true, true
	s.working++
	if d.Verdict == admission.Wait {
		c.slot = make(chan admission.Decision, 1)
		s.queued[c.ticket] = c.slot
	}
	return d
}

// deliver passes decisions to the requests that wait for them. The critical
// section must be held.
func (s *Service) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if waiting, ok := s.queued[d.Ticket]; ok {
			waiting <- d // has room for the only decision
			delete(s.queued, d.Ticket)
		}
	}
}

// wake passes decisions to the repeats that wait for them. The critical section
// must be held.
func (s *Service) wake(woken []dedupe.Woken) {
	for _, w := range woken {
		if waiting, ok := s.repeats[w.Waiter]; ok {
			waiting <- w.Decision // has room for the only decision
			delete(s.repeats, w.Waiter)
		}
	}
}

// answerMargin is the time before the deadline at which a request leaves the
// queue, so that its caller's node hears in time that it did not run. It covers
// the way between two failure domains.
const answerMargin = 20 * time.Millisecond

// awaitSlot waits in the queue until there is a decision, the deadline passes or
// the caller's node goes away.
func (s *Service) awaitSlot(c *call) admission.Decision {
	ctx, cancel := clock.WithTimeout(c.r.Context(), s.clock, c.deadline.Sub(s.clock.Now())-answerMargin)
	defer cancel()
	select {
	case d := <-c.slot:
		return s.settled(c, d)
	case <-ctx.Done():
		return s.leaveQueue(ctx, c)
	}
}

// settled notes that a refused request no longer has a place in the queue.
func (s *Service) settled(c *call, d admission.Decision) admission.Decision {
	if d.Verdict == admission.Refuse {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.admitted = false
	}
	return d
}

func (s *Service) leaveQueue(ctx context.Context, c *call) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queued, c.ticket)
	s.deliver(s.admission.Abandon(c.ticket, s.clock.Now()))
	c.admitted = false
	reason := model.ReasonLate
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = model.ReasonCancelled
	}
	return admission.Decision{Ticket: c.ticket, Verdict: admission.Refuse, Reason: reason}
}

// awaitRepeat waits for the end of the request that c repeats.
func (s *Service) awaitRepeat(c *call) dedupe.Decision {
	ctx, cancel := clock.WithTimeout(c.r.Context(), s.clock, c.deadline.Sub(s.clock.Now()))
	defer cancel()
	select {
	case d := <-c.repeat:
		return d
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.repeats, dedupe.Waiter(c.ticket))
	s.memory.StopWaiting(c.keys, dedupe.Waiter(c.ticket))
	return dedupe.Decision{Verdict: dedupe.RefuseUnknown, Reason: model.ReasonDeadline}
}

// release frees the slot of a call. The time that it was held counts as service
// time only if the server finished.
func (s *Service) release(c *call, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(c, finished)
}

func (s *Service) releaseLocked(c *call, finished bool) {
	if !c.admitted {
		return
	}
	c.admitted = false
	now := s.clock.Now()
	if finished {
		s.deliver(s.admission.Finish(c.ticket, now))
		return
	}
	s.deliver(s.admission.Abandon(c.ticket, now))
}

// endNotRun ends a call of which no byte reached the server.
func (s *Service) endNotRun(c *call, r *refusal) {
	s.mu.Lock()
	s.releaseLocked(c, false)
	if c.entry != nil {
		s.wake(s.memory.NotRun(c.entry, r.reason))
		c.entry = nil
	}
	s.mu.Unlock()
	s.refuse(c, r)
}

// endUncopied ends a call whose key could not be recorded at its keepers, or that
// has run elsewhere.
func (s *Service) endUncopied(c *call, r *refusal) {
	if r.outcome == model.OutcomeNotRun {
		s.endNotRun(c, r)
		return
	}
	s.refuse(c, r) // the key stays remembered as one that may have run
}

// endAnswered ends a call that the server answered whole.
func (s *Service) endAnswered(c *call, answer *dedupe.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(c, true)
	if c.entry != nil {
		s.wake(s.memory.Answered(c.entry, answer, s.clock.Now()))
		c.entry = nil
	}
}

// end runs when the handler returns or panics. A request that has not been ended
// by then may have run.
func (s *Service) end(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(c, false)
	if c.entry != nil {
		s.wake(s.memory.Lost(c.entry, s.clock.Now()))
		c.entry = nil
	}
	if c.counted {
		c.counted = false
		s.working--
		s.closeIfIdle()
	}
}
