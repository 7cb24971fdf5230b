package forward

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// mayHedge reports whether a second attempt may run beside the next one.
func (r *series) mayHedge() bool {
	q := r.request
	return q.Route.Hedge.After > 0 && q.Route.Idempotent && !q.Body.Streamed() && r.progress.Attempts == 0
}

// racer is one of two attempts that run at the same time.
type racer struct {
	result
	cancel context.CancelFunc
}

// race collects the results of concurrent attempts.
type race struct {
	series  *series
	results chan *racer
	running []*racer
	// won is set by the first attempt with a whole answer.
	won atomic.Bool
}

// hedged sends the request to a picked endpoint and, if the answer is not whole
// after the route's delay, to a second one. The first whole answer wins and the
// other attempt is cancelled.
func (r *series) hedged(ctx context.Context, first *route.Endpoint) result {
	const racers = 2
	c := &race{series: r, results: make(chan *racer, racers)}
	due := make(chan struct{})
	timer := r.service.clock.AfterFunc(r.request.Route.Hedge.After, func() { close(due) })
	defer timer.Stop()
	c.start(ctx, first)
	var worst result
	for ended := 0; ; {
		select {
		case <-due:
			due = nil
			c.startSecond(ctx)
		case finished := <-c.results:
			ended++
			if finished.Outcome == model.OutcomeAnswered {
				c.cancelOthers(finished)
				return finished.result
			}
			worst = merge(worst, finished.result, ended)
			if ended == len(c.running) {
				return worst
			}
		}
	}
}

// startSecond starts the hedge if there is another server and a token of the
// hedge budget.
func (c *race) startSecond(ctx context.Context) {
	r := c.series
	if len(r.request.Destination.Endpoints) < 2 || !r.budgets.hedges.Withdraw() {
		return
	}
	if endpoint := r.pick(); endpoint != nil {
		c.start(ctx, endpoint)
	}
}

// start runs an attempt in its own goroutine.
func (c *race) start(ctx context.Context, e *route.Endpoint) {
	s := c.series.service
	c.series.progress.Attempts++
	a := attempt{
		request: c.series.request, endpoint: e, number: c.series.progress.Attempts, patience: c.series.patience,
	}
	ctx, cancel := context.WithCancel(ctx)
	entry := &racer{cancel: cancel}
	c.running = append(c.running, entry)
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		entry.result = readWhole(s.sendPicked(ctx, a))
		if entry.response == nil {
			cancel()
		} else if !c.won.CompareAndSwap(false, true) {
			_ = entry.response.Body.Close()
			entry.result = result{Result: retry.Result{Reason: model.ReasonCancelled}}
			cancel()
		}
		c.results <- entry
	}()
}

// cancelOthers ends every attempt but the winner, whose context ends with the
// body of its answer.
func (c *race) cancelOthers(winner *racer) {
	for _, entry := range c.running {
		if entry != winner {
			entry.cancel()
		}
	}
	body := winner.response.Body
	winner.response.Body = &closingBody{ReadCloser: body, onClose: winner.cancel}
}

// merge returns the result that is safer to report: an unknown outcome stays.
func merge(worst, next result, ended int) result {
	if ended > 1 && worst.Outcome == model.OutcomeUnknown {
		return worst
	}
	return next
}

// readWhole reads the body of an answer up to wholeLimit. An answer that breaks
// on the way becomes an unknown outcome.
func readWhole(r result) result {
	if r.response == nil {
		return r
	}
	var head bytes.Buffer
	_, err := io.Copy(&head, io.LimitReader(r.response.Body, wholeLimit))
	if err != nil {
		_ = r.response.Body.Close()
		return result{Result: retry.Result{Reason: model.ReasonConnectionLost}, report: r.report}
	}
	r.response.Body = &prefixedBody{Reader: io.MultiReader(&head, r.response.Body), Closer: r.response.Body}
	return r
}

// prefixedBody is a body of which the start was read before.
type prefixedBody struct {
	io.Reader
	io.Closer
}
