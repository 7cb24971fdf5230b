package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/hedge"
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
)

// errHedgeWon is the cause of the context of a first attempt whose hedge responded first.
var errHedgeWon = eris.New("the hedge of the request has responded first")

// hedgeBytes is the largest size in bytes of the responses of both attempts that are read
// ahead.
const hedgeBytes = 2 * responseBufferLimit

// hedgeDelay returns when the next attempt may be hedged with a second one, or false. The
// delay of the route takes precedence over that of the decision.
func (r *requestState) hedgeDelay() (hedge.Delay, bool) {
	q := r.request
	switch {
	case !q.Route.Idempotent || q.Body.Streamed() || r.progress.Attempts > 0:
		return hedge.Delay{}, false
	case q.Route.Hedge.After > 0:
		return hedge.Delay{After: q.Route.Hedge.After}, true
	default:
		return r.hedges.delay(q.SoftDeadline.Sub(r.service.clock.Now()), r.service.sinceStart())
	}
}

// hedgeAttempt is one of two concurrent attempts.
type hedgeAttempt struct {
	result
	cancel context.CancelCauseFunc
}

// race holds the concurrent attempts of one request and receives their results.
type race struct {
	state   *requestState
	results chan *hedgeAttempt
	running []*hedgeAttempt
	ended   int // number of running whose results have been received
	// won is set by the first attempt for which bufferResponse succeeds; the other
	// one then discards its response.
	won atomic.Bool
	// lost receives a value when the server of the first attempt is lost. The request may
	// have crashed it, so it is not hedged: a second server could run it before its gate
	// knows of the crash.
	lost chan struct{}
	// readAhead is true once the start of a response is read before it wins, because
	// another attempt may take its place. Without a hedge, responses are streamed at once.
	readAhead atomic.Bool
	// byLatency is true if the hedge is one that Config.HedgePercent allows.
	byLatency bool
	// hedge is the second attempt; nil if there is none or if its gate refused it. repeated is
	// true once it was sent to one more server after that.
	hedge    *hedgeAttempt
	repeated bool
}

// maxConcurrent is the largest number of attempts of a race: the first one, its hedge, and
// the hedge at another server after a refusal.
const maxConcurrent = 3

// sendHedged sends the request to a picked endpoint and, if there is no result after
// the delay, to a second one. It returns the first response that could be
// buffered and cancels the other attempt.
func (r *requestState) sendHedged(ctx context.Context, first *route.Endpoint, delay hedge.Delay) result {
	c := &race{
		state: r, results: make(chan *hedgeAttempt, maxConcurrent), lost: make(chan struct{}, maxConcurrent),
		byLatency: r.request.Route.Hedge.After == 0,
	}
	c.readAhead.Store(!c.byLatency)
	due := make(chan struct{})
	timer := r.service.clock.AfterFunc(delay.After, func() { close(due) })
	defer timer.Stop()
	hedgeDue := due // nil once the hedge has been sent or withheld
	c.start(ctx, first, r.maxQueueWait)
	var merged result
	for {
		select {
		case <-hedgeDue:
			hedgeDue = nil
			c.startHedge(ctx, first, delay)
		case <-c.lost:
			r.withholdHedge(hedgeDue)
			hedgeDue = nil
		case finished := <-c.results:
			c.ended++
			if finished.Outcome == model.OutcomeAnswered {
				c.cancelLosers(finished)
				return finished.result
			}
			merged = mergeResults(merged, finished.result, c.ended)
			c.repeatHedge(ctx, finished, first, delay)
			if c.ended == len(c.running) {
				return merged
			}
		}
	}
}

// withholdHedge counts a hedge that is not sent; hedgeDue is nil if it has been sent.
func (r *requestState) withholdHedge(hedgeDue <-chan struct{}) {
	if counter := r.service.hedgesWithheld; hedgeDue != nil && counter != nil {
		counter.Inc(1)
	}
}

// startHedge starts a second attempt if there is another server and the hedge budget
// or, without a delay of the route's own, the decision on hedges allows it.
func (c *race) startHedge(ctx context.Context, first *route.Endpoint, delay hedge.Delay) {
	r := c.state
	if c.byLatency {
		c.startHedgeByLatency(ctx, first, delay)
		return
	}
	conn := occupancy.Of(ctx)
	if len(r.request.Destination.Endpoints) < 2 || !conn.TryCharge(hedgeBytes) {
		return
	}
	if !r.budgets.hedges.Withdraw() {
		conn.Release(hedgeBytes)
		return
	}
	if endpoint := r.pick(); endpoint != nil {
		c.hedge = c.start(ctx, endpoint, r.maxQueueWait)
	}
}

func (c *race) startHedgeByLatency(ctx context.Context, first *route.Endpoint, delay hedge.Delay) {
	r := c.state
	endpoint, reason := r.chooseHedge(ctx, first, delay)
	if reason != "" {
		r.hedges.skip(reason)
		return
	}
	r.hedges.started(r.service.sinceStart())
	c.readAhead.Store(true)
	c.sendHedge(ctx, endpoint, delay)
}

// sendHedge sends a hedge by latency to a chosen server.
func (c *race) sendHedge(ctx context.Context, endpoint *route.Endpoint, delay hedge.Delay) {
	r := c.state
	r.service.balancer.Begin(endpoint, r.request.Route.Class)
	r.tried, r.current = append(r.tried, endpoint), endpoint
	c.hedge = c.start(ctx, endpoint, hedge.MaxQueueWait(delay.Typical))
}

// repeatHedge sends a hedge by latency to one more server if its gate has refused it for lack
// of a slot while the first attempt still runs. The load of a server is often known from
// few responses. It needs no further token: the refused hedge has reached no server.
func (c *race) repeatHedge(ctx context.Context, finished *hedgeAttempt, first *route.Endpoint, delay hedge.Delay) {
	if !c.byLatency || finished != c.hedge {
		return
	}
	c.hedge = nil
	r := c.state
	if finished.Reason != model.ReasonBusy || c.repeated || ctx.Err() != nil || c.ended == len(c.running) {
		return
	}
	c.repeated = true
	if endpoint := r.chooseSecond(first, delay); endpoint != nil {
		c.sendHedge(ctx, endpoint, delay)
	}
}

// chooseSecond returns a server for a hedge by latency, or nil.
func (r *requestState) chooseSecond(first *route.Endpoint, delay hedge.Delay) *route.Endpoint {
	q := r.request
	return r.service.balancer.ChooseSecond(q.Destination, q.Route.Class, q.Route.Name, first, r.tried, balance.Second{
		Typical: delay.Typical, ObjectiveLeft: q.SoftDeadline.Sub(r.service.clock.Now()),
	})
}

// chooseHedge returns the server for a hedge, for which it has taken memory and tokens, or
// the reason for which there is none.
func (r *requestState) chooseHedge(ctx context.Context, first *route.Endpoint, delay hedge.Delay) (*route.Endpoint, hedge.Reason) {
	q, now, sinceStart := r.request, r.service.clock.Now(), r.service.sinceStart()
	reason := r.hedges.refuses(hedge.Attempt{
		CallerLeft: ctx.Err() != nil, Suspect: r.hedges.hedging.suspect(q),
		TimeLeft: q.Deadline.Sub(now), Typical: delay.Typical,
	}, sinceStart)
	if reason != "" {
		return nil, reason
	}
	endpoint := r.chooseSecond(first, delay)
	if endpoint == nil {
		return nil, hedge.NoServer
	}
	conn := occupancy.Of(ctx)
	if !conn.TryCharge(hedgeBytes) {
		return nil, hedge.NoMemory
	}
	reason = r.hedges.withdraw(sinceStart, func() bool {
		return r.serviceBudget == nil || r.serviceBudget.WithdrawUnreserved(sinceStart, r.service.mesh.Present())
	})
	if reason != "" {
		conn.Release(hedgeBytes)
		return nil, reason
	}
	return endpoint, ""
}

// start starts an attempt in its own goroutine.
func (c *race) start(ctx context.Context, e *route.Endpoint, maxQueueWait time.Duration) *hedgeAttempt {
	s := c.state.service
	c.state.progress.Attempts++
	a := attempt{
		request: c.state.request, endpoint: e, number: c.state.progress.Attempts, maxQueueWait: maxQueueWait,
		onLost: c.signalLost,
	}
	ctx, cancel := context.WithCancelCause(ctx)
	entry := &hedgeAttempt{cancel: cancel}
	c.running = append(c.running, entry)
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		entry.result = c.state.sendAndObserve(ctx, a)
		if c.readAhead.Load() {
			entry.result = bufferResponse(entry.result)
		}
		if entry.response == nil {
			cancel(nil)
		} else if !c.won.CompareAndSwap(false, true) {
			_ = entry.response.Body.Close()
			entry.result = result{Result: retry.Result{Reason: model.ReasonCancelled}}
			cancel(nil)
		}
		c.results <- entry
	}()
	return entry
}

// signalLost never blocks.
func (c *race) signalLost() {
	select {
	case c.lost <- struct{}{}:
	default:
	}
}

// cancelLosers cancels every attempt but the winner. The winner's context is cancelled
// when the body of its response is closed.
func (c *race) cancelLosers(winner *hedgeAttempt) {
	var cause error
	if c.byLatency {
		cause = errHedgeWon
	}
	for _, entry := range c.running {
		if entry != winner {
			entry.cancel(cause)
		}
	}
	if c.byLatency && c.hedge != nil {
		c.state.hedges.ended(winner == c.hedge)
	}
	body := winner.response.Body
	winner.response.Body = &closingBody{ReadCloser: body, onClose: func() { winner.cancel(nil) }}
}

// mergeResults returns the result of the attempts that have ended, of which next is the
// last one. A result with an unknown outcome is kept, because the request may have run.
// In the first call merged is zero, which is an unknown outcome too, so ended is checked.
func mergeResults(merged, next result, ended int) result {
	if ended > 1 && merged.Outcome == model.OutcomeUnknown {
		return merged
	}
	return next
}
