package gate

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/transfer"
	"github.com/galenalever/galenalever/internal/model"
)

// transfers applies the decisions on the bodies that the node receives over its link. It
// is safe for concurrent use.
type transfers struct {
	clock clock.Clock

	mu      sync.Mutex
	tickets transfer.Ticket
	state   *transfer.State
	waiters map[transfer.Ticket]chan transfer.Decision
	// timer calls proceed at the time that state.Next returned; nil before the first wait.
	timer clock.Timer
	// waited and refused count since the start of the process.
	waited, refused uint64
	waitingGauge    tally.Gauge
}

func newTransfers(bandwidth float64, clk clock.Clock, scope tally.Scope) *transfers {
	return &transfers{
		clock: clk, waitingGauge: scope.Gauge("gate_bodies_waiting"), state: transfer.New(bandwidth), waiters: make(map[transfer.Ticket]chan transfer.Decision),
	}
}

// begin waits until the body of a call may be received, and returns the function that
// ends its transfer, or the refusal.
func (t *transfers) begin(ctx context.Context, r transfer.Request) (func(), *refusal) {
	t.mu.Lock()
	t.tickets++
	r.Ticket = t.tickets
	d := t.state.Arrive(r, t.clock.Now())
	var decided chan transfer.Decision
	if d.Verdict == transfer.Wait {
		decided = make(chan transfer.Decision, 1)
		t.waiters[r.Ticket] = decided
		t.waited++
		t.schedule()
	}
	t.mu.Unlock()
	end := func() { t.end(r.Ticket) }
	if decided != nil {
		ctx, cancel := clock.WithTimeout(ctx, t.clock, r.Deadline.Sub(t.clock.Now()))
		defer cancel()
		select {
		case d = <-decided:
		case <-ctx.Done():
			end()
			reason := model.ReasonCancelled
			if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				reason = model.ReasonLate
			}
			return nil, notRun(reason)
		}
	}
	if d.Verdict == transfer.Refuse {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.refused++
		refused := notRun(d.Reason)
		refused.retryAfter = d.RetryAfter
		return nil, refused
	}
	return end, nil
}

func (t *transfers) end(ticket transfer.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiters, ticket)
	t.deliver(t.state.Finish(ticket, t.clock.Now()))
}

// proceed continues after a transfer has expired or a deadline has passed.
func (t *transfers) proceed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.state.Continue(t.clock.Now()))
}

// deliver passes decisions to the waiting calls. The caller must hold t.mu.
func (t *transfers) deliver(decisions []transfer.Decision) {
	for _, d := range decisions {
		if decided, ok := t.waiters[d.Ticket]; ok {
			decided <- d // buffered, does not block
			delete(t.waiters, d.Ticket)
		}
	}
	t.schedule()
}

// schedule updates the gauge and sets the timer for the next decision that no ending transfer triggers. The
// caller must hold t.mu.
func (t *transfers) schedule() {
	if t.timer != nil {
		t.timer.Stop()
	}
	_, waiting := t.state.Load()
	t.waitingGauge.Update(float64(waiting))
	now := t.clock.Now()
	if next, ok := t.state.Next(now); ok {
		t.timer = t.clock.AfterFunc(next.Sub(now), t.proceed)
	}
}

// TransferStats is the state of the transfers of bodies on the status page. Waited and
// Refused count since the start of the process.
type TransferStats struct {
	Active  int    `json:"active"`
	Waiting int    `json:"waiting"`
	Waited  uint64 `json:"waited"`
	Refused uint64 `json:"refused"`
}

func (t *transfers) stats() TransferStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	active, waiting := t.state.Load()
	return TransferStats{Active: active, Waiting: waiting, Waited: t.waited, Refused: t.refused}
}

// beginTransfer waits until the body of a call may be received over the node's link. A
// caller's node on the same host does not use the link.
func (s *Service) beginTransfer(c *call) (func(), *refusal) {
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err != nil || host == s.ownHost {
		return func() {}, nil
	}
	return s.transfers.begin(c.r.Context(), transfer.Request{
		Bytes: c.r.ContentLength, Priority: c.Priority, FinalAttempt: c.FinalAttempt,
		Deadline: c.deadline.Add(-responseMargin), MaxWait: c.MaxQueueWait,
	})
}
