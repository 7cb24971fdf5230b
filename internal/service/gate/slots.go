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

// beginResult is the result of Service.begin: a refusal, the decision on a repeat
// or the decision on a slot.
type beginResult struct {
	refused *refusal
	repeat  dedupe.Decision
	slot    admission.Decision
}

// begin decides on a call in one critical section. A repeat gets the stored response
// from memory even if new requests are refused.
func (s *Service) begin(c *call, refused *refusal) beginResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets++
	c.ticket = s.tickets
	waiter := dedupe.Waiter(c.ticket)
	now := s.clock.Now()
	if d, known := s.memory.Lookup(waiter, c.keys, c.contentFingerprint, now); known {
		if d.Verdict == dedupe.Wait {
			c.repeatDecision = make(chan dedupe.Decision, 1)
			s.repeatWaiters[waiter] = c.repeatDecision
		}
		return beginResult{repeat: d}
	}
	if refused != nil {
		return beginResult{refused: refused}
	}
	if refused = s.checkServerListing(); refused != nil { // it may have changed since the check
		return beginResult{refused: refused}
	}
	if refused = s.checkCalls(c); refused != nil {
		return beginResult{refused: refused}
	}
	if !c.Idempotent {
		d := s.memory.Begin(waiter, c.keys, c.contentFingerprint, now)
		if d.Verdict != dedupe.Run {
			s.withdrawStart(c)
			return beginResult{repeat: d}
		}
		c.entry = d.Entry
	}
	return beginResult{slot: s.requestSlot(c)}
}

// The caller of requestSlot must hold s.mu.
func (s *Service) requestSlot(c *call) admission.Decision {
	d := s.admission.Arrive(c.slotRequest(), s.clock.Now())
	s.scheduleWake()
	if d.Verdict == admission.Refuse {
		s.countDisplaced(c, d)
		return d
	}
	c.admitted, c.active = true, true
	s.activeCalls++
	if d.Verdict == admission.Wait {
		c.slotDecision = make(chan admission.Decision, 1)
		s.slotWaiters[c.ticket] = c.slotDecision
	}
	return d
}

// deliver passes decisions to the queued requests. The caller must hold s.mu.
func (s *Service) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if waiting, ok := s.slotWaiters[d.Ticket]; ok {
			waiting <- d // buffered, does not block
			delete(s.slotWaiters, d.Ticket)
		}
	}
	s.scheduleWake()
}

// wake passes decisions to the waiting repeats. The caller must hold s.mu.
func (s *Service) wake(woken []dedupe.Woken) {
	for _, w := range woken {
		if waiting, ok := s.repeatWaiters[w.Waiter]; ok {
			waiting <- w.Decision // buffered, does not block
			delete(s.repeatWaiters, w.Waiter)
		}
	}
}

// responseMargin is how long before its deadline a request leaves the queue, so
// that its caller's node is informed in time that it did not run. It covers the
// latency between two failure domains.
const responseMargin = 20 * time.Millisecond

// awaitSlot waits in the queue until there is a decision, the request can no longer end
// by its deadline or the caller's node disconnects.
func (s *Service) awaitSlot(c *call) admission.Decision {
	for {
		ctx, cancel := clock.WithTimeout(c.r.Context(), s.clock, s.timeInQueue(c))
		select {
		case d := <-c.slotDecision:
			cancel()
			return s.clearAdmittedIfRefused(c, d)
		case <-ctx.Done():
			cancel()
		}
		if c.r.Context().Err() != nil || s.timeInQueue(c) <= 0 {
			return s.leaveQueue(ctx, c)
		}
	}
}

// timeInQueue returns how long a queued call can still wait for a slot. It changes with
// the expected service time.
func (s *Service) timeInQueue(c *call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	startBy := s.admission.StartBy(c.slotRequest())
	return min(startBy.Sub(s.clock.Now()), c.deadline.Sub(s.clock.Now())-responseMargin)
}

// clearAdmittedIfRefused clears admitted if the queued request was refused, and
// returns d.
func (s *Service) clearAdmittedIfRefused(c *call, d admission.Decision) admission.Decision {
	if d.Verdict == admission.Refuse {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.admitted = false
	}
	return d
}

// leaveQueue ends the wait of a queued request and refuses it. If it has just been
// given a slot, the slot is freed.
func (s *Service) leaveQueue(ctx context.Context, c *call) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slotWaiters, c.ticket)
	s.deliver(s.admission.Abandon(c.ticket, s.clock.Now()))
	c.admitted = false
	reason := model.ReasonLate
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = model.ReasonCancelled
	}
	return admission.Decision{Ticket: c.ticket, Verdict: admission.Refuse, Reason: reason}
}

func (s *Service) awaitFirstRequest(c *call) dedupe.Decision {
	ctx, cancel := clock.WithTimeout(c.r.Context(), s.clock, c.deadline.Sub(s.clock.Now()))
	defer cancel()
	select {
	case d := <-c.repeatDecision:
		return d
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.repeatWaiters, dedupe.Waiter(c.ticket))
	s.memory.StopWaiting(c.keys, dedupe.Waiter(c.ticket))
	return dedupe.Decision{Verdict: dedupe.RefuseUnknown, Reason: model.ReasonDeadline}
}

// release frees the slot of a call. Its service time is recorded only if the server
// finished the request.
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

// endNotRun ends a call that was not run by the server.
func (s *Service) endNotRun(c *call, r *refusal) {
	s.withdrawStart(c)
	s.mu.Lock()
	s.releaseLocked(c, false)
	if c.entry != nil {
		s.wake(s.memory.NotRun(c.entry, r.reason))
		c.entry = nil
	}
	s.mu.Unlock()
	s.refuse(c, r)
}

// endUnreplicated ends a call whose key could not be recorded at its replica members,
// or that has already run elsewhere.
func (s *Service) endUnreplicated(c *call, r *refusal) {
	if r.outcome == model.OutcomeNotRun {
		s.endNotRun(c, r)
		return
	}
	s.refuse(c, r) // the entry in the memory stays as one that may have run
}

// endAnswered ends a call to which the server responded completely.
func (s *Service) endAnswered(c *call, answer *dedupe.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(c, true)
	if c.entry != nil {
		s.wake(s.memory.Answered(c.entry, answer, s.clock.Now()))
		c.entry = nil
	}
}

// end cleans up when the handler returns or panics. A request without an outcome by
// then may have run.
func (s *Service) end(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(c, false)
	if c.entry != nil {
		s.wake(s.memory.Lost(c.entry, s.clock.Now()))
		c.entry = nil
	}
	if c.active {
		c.active = false
		s.activeCalls--
		s.signalIfIdle()
	}
}
