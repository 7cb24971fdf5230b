package forward

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/hedge"
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// requestState is the state of a request while it is forwarded.
type requestState struct {
	service       *Service
	request       *call.Request
	budgets       *routeBudgets
	serviceBudget *retry.ServiceBudget // nil if retries are not limited over all nodes
	retryRequest  retry.Request
	progress      retry.Progress
	// tried holds the endpoints that must not be picked again; current is the one
	// picked last.
	tried   []*route.Endpoint
	current *route.Endpoint
	// maxQueueWait is the longest predicted wait for a slot at which the current
	// server is still preferred to another one; 0 means no limit.
	maxQueueWait time.Duration
	// overBudget is true if a budget had no token for a retry.
	overBudget bool
	// hedges is the state of hedging by latency; nil if it is off.
	hedges *requestHedging
}

// Forward sends the request until it is answered or no further attempt is
// allowed. The context must end at the request's deadline, with the cause
// call.ErrDeadline, or earlier if the caller closes its connection.
func (s *Service) Forward(ctx context.Context, q *call.Request) *call.Result {
	ended, admitted := s.admit(q)
	if !admitted {
		return &call.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonOverloaded}
	}
	state := &requestState{
		service: s, request: q,
		budgets:       s.budgets.deposit(q.Route, s.clock.Now().Sub(s.start)),
		serviceBudget: s.serviceBudget(q.Destination.Service.Name),
		retryRequest:  retry.Request{Idempotent: q.Route.Idempotent, Attempts: max(q.Route.Retry.Attempts, 1), Refusals: q.Route.Retry.Refusals},
	}
	state.hedges = s.hedging.begin(q, s.sinceStart())
	if state.serviceBudget != nil {
		state.serviceBudget.Deposit(s.clock.Now().Sub(s.start), s.mesh.Present(), state.claim())
	}
	last := initialResult(ctx, q)
	next := retry.Decision{Action: retry.SendElsewhere}
	for next.Action != retry.Finish && state.wait(ctx, next.Delay) {
		begin := s.clock.Now()
		current, ok := state.execute(ctx, next.Action)
		if !ok {
			state.logNoServer()
			break
		}
		last = current
		next = state.decide(last)
		state.logAttempt(last, next, begin)
	}
	ended(last)
	return state.finalResult(last)
}

// initialResult returns the result of a request that ends before its first attempt,
// because the context has ended or there is no server.
func initialResult(ctx context.Context, q *call.Request) result {
	if ctx.Err() != nil {
		return result{Result: classifyFailure(ctx, q.Body, false)}
	}
	return result{Result: retry.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonNoServer}}
}

// execute returns false if there is no server for the attempt.
func (r *requestState) execute(ctx context.Context, action retry.Action) (result, bool) {
	if action == retry.AskSameGate {
		r.service.balancer.Begin(r.current, r.request.Route.Class)
		r.progress.GateQueries++
		return r.sendTo(ctx, r.current), true
	}
	if action == retry.SendAgain {
		r.tried = r.tried[:0]
	}
	endpoint := r.pick()
	if endpoint == nil {
		return result{}, false
	}
	if delay, ok := r.hedgeDelay(); ok {
		return r.sendHedged(ctx, endpoint, delay), true
	}
	return r.sendTo(ctx, endpoint), true
}

// maxBusy is the number of attempts refused for lack of a free slot after which the
// request waits at the next server without a limit.
const maxBusy = 2

// pick returns nil if there is no server for the next attempt.
func (r *requestState) pick() *route.Endpoint {
	q := r.request
	var endpoint *route.Endpoint
	if q.RoutedByKey() {
		endpoint = r.service.balancer.PickOwner(q.Destination, q.Route.Class, q.IdempotencyKey, r.tried)
		r.maxQueueWait = 0
	} else {
		endpoint, r.maxQueueWait = r.service.balancer.Pick(q.Destination, q.Route.Class, q.Route.Name, q.Route.Objective, r.tried)
	}
	if r.progress.Busy >= maxBusy {
		r.maxQueueWait = 0
	}
	if endpoint != nil {
		r.tried = append(r.tried, endpoint)
		r.current = endpoint
	}
	return endpoint
}

func (r *requestState) sendTo(ctx context.Context, e *route.Endpoint) result {
	r.progress.Attempts++
	return r.sendAndObserve(ctx, attempt{
		request: r.request, endpoint: e, number: r.progress.Attempts, maxQueueWait: r.maxQueueWait,
	})
}

// sendAndObserve makes an attempt at a picked endpoint and reports it to the balancer and to
// the decision on hedges.
func (r *requestState) sendAndObserve(ctx context.Context, a attempt) result {
	if r.hedges == nil {
		return r.service.sendAndReport(ctx, a)
	}
	begin := r.service.sinceStart()
	sent := r.service.sendAndReport(ctx, a)
	r.hedges.observe(a, sent, begin, r.service.sinceStart())
	return sent
}

// sendAndReport makes an attempt at a picked endpoint. It reports the attempt to the
// balancer at once if there is no response, otherwise when the body is closed.
func (s *Service) sendAndReport(ctx context.Context, a attempt) result {
	sent := s.send(ctx, a)
	done := func(report balance.Report) {
		report.Kind = a.request.Route.Name
		s.balancer.Done(a.endpoint, a.request.Route.Class, report)
	}
	if sent.response == nil {
		if a.number == 1 && context.Cause(ctx) == errHedgeWon {
			sent.report.Latency = hedge.LoserLatency(sent.report.Latency)
		}
		done(sent.report)
		return sent
	}
	sent.response.Body = &reportingBody{ReadCloser: sent.response.Body, ctx: ctx, report: sent.report, done: done}
	return sent
}

func (r *requestState) decide(last result) retry.Decision {
	r.progress.TimeLeft = r.request.Deadline.Sub(r.service.clock.Now())
	r.progress.Overdue = !r.request.FinalAttempt && r.service.clock.Now().After(r.request.SoftDeadline)
	r.progress.GateKnown = r.current.ID.Incarnation != 0
	r.excludeEvacuated(last.Reason)
	r.progress.NoOtherServer = len(r.tried) >= len(r.request.Destination.Endpoints)
	r.progress.Replayable = last.Outcome == model.OutcomeAnswered || r.request.Body.Replayable()
	r.progress.Record(last.Result)
	decision := retry.Decide(r.retryRequest, r.progress, last.Result, r.service.config.Random)
	needsToken := decision.Action == retry.SendElsewhere || decision.Action == retry.SendAgain
	if needsToken && last.Reason != model.ReasonBusy && !r.withdraw() {
		r.overBudget = true
		return retry.Decision{Action: retry.Finish}
	}
	return decision
}

// withdraw withdraws a token for a retry from the budgets and reports whether they
// allow the retry. The limits over all nodes apply only if an attempt has reached a
// server.
func (r *requestState) withdraw() bool {
	if !r.budgets.retries.Withdraw() {
		return false
	}
	if r.serviceBudget == nil || r.progress.Reached == 0 {
		return true
	}
	return r.serviceBudget.Withdraw(r.service.clock.Now().Sub(r.service.start), r.service.mesh.Present(), r.claim())
}

func (r *requestState) claim() retry.Claim {
	return retry.Claim{Priority: r.request.Priority, FinalAttempt: r.request.FinalAttempt}
}

// wait reports false if the context ends first.
func (r *requestState) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	elapsed := make(chan struct{})
	timer := r.service.clock.AfterFunc(d, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *requestState) finalResult(last result) *call.Result {
	final := retry.FinalResult(r.progress, last.Result)
	return &call.Result{
		Outcome: final.Outcome, Reason: final.Reason, RetryAfter: final.RetryAfter,
		Attempts: r.progress.Attempts, Response: last.response,
	}
}
