package forward

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// series is the attempts of one request.
type series struct {
	service  *Service
	request  *call.Request
	budgets  *routeBudgets
	share    *retry.ServiceBudget // nil without limits over all nodes
	rules    retry.Request
	progress retry.Progress
	// tried holds the endpoints that the request must not be sent to again;
	// current is the last of them.
	tried   []*route.Endpoint
	current *route.Endpoint
	// patience is the longest wait at the current server after which another
	// would be better; 0 means that there is none.
	patience time.Duration
	// overBudget is true if a budget did not allow a retry.
	overBudget bool
}

// Forward sends the request until it is answered or no further attempt is
// allowed. The context must end at the request's deadline, with the cause
// call.ErrDeadline, and when the caller goes away.
func (s *Service) Forward(ctx context.Context, q *call.Request) *call.Result {
	run := &series{
		service: s, request: q,
		budgets: s.budgets.deposit(q.Route, s.clock.Now().Sub(s.start)),
		share:   s.share(q.Destination.Service.Name),
		rules:   retry.Request{Idempotent: q.Route.Idempotent, Attempts: max(q.Route.Retry.Attempts, 1), Refusals: q.Route.Retry.Refusals},
	}
	if run.share != nil {
		run.share.Deposit(s.clock.Now().Sub(s.start), s.mesh.Present())
	}
	last := notSent(ctx, q)
	next := retry.Decision{Action: retry.SendElsewhere}
	for next.Action != retry.Finish && run.wait(ctx, next.Delay) {
		begin := s.clock.Now()
		current, ok := run.act(ctx, next.Action)
		if !ok {
			run.logNoServer()
			break
		}
		last = current
		next = run.decide(last)
		run.logAttempt(last, next, begin)
	}
	return run.answer(last)
}

// notSent is the result of a request without any attempt: there is no server,
// or the context has ended already.
func notSent(ctx context.Context, q *call.Request) result {
	if ctx.Err() != nil {
		return result{Result: failure(ctx, q.Body, false)}
	}
	return result{Result: retry.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonNoServer}}
}

// act carries out a decision. It reports false if no server is left.
func (r *series) act(ctx context.Context, action retry.Action) (result, bool) {
	if action == retry.AskSameGate {
		r.service.chooser.Begin(r.current, r.request.Route.Class)
		r.progress.GateQueries++
		return r.attempt(ctx, r.current), true
	}
	if action == retry.SendAgain {
		r.tried = r.tried[:0]
	}
	endpoint := r.pick()
	if endpoint == nil {
		return result{}, false
	}
	if r.mayHedge() {
		return r.hedged(ctx, endpoint), true
	}
	return r.attempt(ctx, endpoint), true
}

// maxBusy is the number of busy servers after which a request takes the wait of
// the next one.
const maxBusy = 2

// pick chooses the server of the next attempt.
func (r *series) pick() *route.Endpoint {
	q := r.request
	var endpoint *route.Endpoint
	if q.RoutedByKey() {
		endpoint = r.service.chooser.PickOwner(q.Destination, q.Route.Class, q.IdempotencyKey, r.tried)
		r.patience = 0
	} else {
		endpoint, r.patience = r.service.chooser.Pick(q.Destination, q.Route.Class, q.Route.Objective, r.tried)
	}
	if r.progress.Busy >= maxBusy {
		r.patience = 0
	}
	if endpoint != nil {
		r.tried = append(r.tried, endpoint)
		r.current = endpoint
	}
	return endpoint
}

// attempt sends the request to a picked endpoint. The report to the balancer
// follows when the attempt, with the body of its answer, has ended.
func (r *series) attempt(ctx context.Context, e *route.Endpoint) result {
	r.progress.Attempts++
	return r.service.sendPicked(ctx, attempt{
		request: r.request, endpoint: e, number: r.progress.Attempts, patience: r.patience,
	})
}

// sendPicked makes an attempt at a picked endpoint and reports its end.
func (s *Service) sendPicked(ctx context.Context, a attempt) result {
	sent := s.send(ctx, a)
	done := func(report balance.Report) { s.chooser.Done(a.endpoint, a.request.Route.Class, report) }
	if sent.response == nil {
		done(sent.report)
		return sent
	}
	sent.response.Body = &reportedBody{ReadCloser: sent.response.Body, ctx: ctx, report: sent.report, done: done}
	return sent
}

// decide returns what follows the last attempt, within the retry budget.
func (r *series) decide(last result) retry.Decision {
	r.progress.TimeLeft = r.request.Deadline.Sub(r.service.clock.Now())
	r.progress.Overdue = !r.request.FinalAttempt && r.service.clock.Now().After(r.request.SoftDeadline)
	r.progress.GateKnown = r.current.ID.Incarnation != 0
	r.progress.NoOtherServer = len(r.tried) >= len(r.request.Destination.Endpoints)
	r.progress.Replayable = last.Outcome == model.OutcomeAnswered || r.request.Body.Replayable()
	r.progress.Record(last.Result)
	decision := retry.Decide(r.rules, r.progress, last.Result, r.service.config.Random)
	moves := decision.Action == retry.SendElsewhere || decision.Action == retry.SendAgain
	if moves && last.Reason != model.ReasonBusy && !r.withdraw() {
		r.overBudget = true
		return retry.Decision{Action: retry.Finish}
	}
	return decision
}

// withdraw takes what a retry costs from the budgets. The limits over all nodes
// count arrivals at servers only.
func (r *series) withdraw() bool {
	if !r.budgets.retries.Withdraw() {
		return false
	}
	if r.share == nil || r.progress.Reached == 0 {
		return true
	}
	return r.share.Withdraw(r.service.clock.Now().Sub(r.service.start), r.service.mesh.Present(), r.request.FinalAttempt)
}

// wait lets d pass and reports false if the context ended first.
func (r *series) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	passed := make(chan struct{})
	timer := r.service.clock.AfterFunc(d, func() { close(passed) })
	defer timer.Stop()
	select {
	case <-passed:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer returns what the caller is told.
func (r *series) answer(last result) *call.Result {
	settled := retry.FinalResult(r.progress, last.Result)
	return &call.Result{
		Outcome: settled.Outcome, Reason: settled.Reason, RetryAfter: settled.RetryAfter,
		Attempts: r.progress.Attempts, Response: last.response,
	}
}
