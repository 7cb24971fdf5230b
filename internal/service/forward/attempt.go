package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/httpclient"
	"github.com/galenalever/galenalever/internal/model"
)

// attempt describes one transmission of a request to one gate.
type attempt struct {
	request  *call.Request
	endpoint *route.Endpoint
	// number counts from 1.
	number int
	// maxQueueWait is sent as hop.Request.MaxQueueWait; 0 means no limit.
	maxQueueWait time.Duration
	// onLost is called when the gate announces that its server is lost; it may be nil.
	onLost func()
}

// result is the result of an attempt, with the report that the balancer gets.
type result struct {
	retry.Result
	// response is the server's response, nil unless the outcome is answered.
	response *call.Response
	report   balance.Report
}

// send makes one attempt. The caller must close the body of the response, which
// occupies a connection until then.
func (s *Service) send(ctx context.Context, a attempt) result {
	begin := s.clock.Now()
	observer := &writeObserver{onLost: a.onLost}
	request := s.newRequest(s.attemptContext(ctx), a, observer)
	response, err := s.transports.forRequest(a.request).RoundTrip(request)
	elapsed := s.clock.Now().Sub(begin)
	if err != nil {
		return withoutResponse(classifyFailure(ctx, a.request.Body, observer.abort()), elapsed)
	}
	head, ok := hop.DecodeResponse(response.Header)
	if !ok || head.ID != a.request.ID || response.StatusCode < http.StatusOK || !delimited(response) {
		// The response is not from a gate, belongs to another request, is not final or has
		// no detectable end. The request may have run: the outcome is unknown.
		observer.abort()
		_ = response.Body.Close()
		return withoutResponse(retry.Result{Reason: model.ReasonConnectionLost}, elapsed)
	}
	r := interpretResponse(response, head, elapsed)
	if r.Outcome != model.OutcomeAnswered {
		_ = response.Body.Close()
		return withoutCancelled(ctx, r)
	}
	r.response = newResponse(response)
	if err := r.response.BufferBody(responseBufferLimit); err != nil {
		failed := classifyFailure(ctx, a.request.Body, observer.abort())
		_ = r.response.Body.Close()
		return withoutResponse(failed, elapsed)
	}
	return r
}

// responseBufferLimit is the size in bytes up to which a response of known length is
// read completely before it is passed on, so that the request can be sent again if the
// response is incomplete. Of a hedged attempt's response at most as much is read in
// advance.
const responseBufferLimit = 64 << 10

// newRequest returns the HTTP request that sends an attempt to its gate.
func (s *Service) newRequest(ctx context.Context, a attempt, observer *writeObserver) *http.Request {
	q := a.request
	header := endToEndHeaders(q.Header, hopHeaderCount)
	keepUserAgent(header)
	if !q.Route.Idempotent {
		hideReplayHeaders(header)
	}
	if q.Body.ExpectContinue() {
		// A gate that refuses the request responds before it reads the body.
		header.Set("Expect", "100-continue")
	}
	metadata := s.hopRequest(a)
	if s.config.Time != nil {
		metadata.Time = s.config.Time.Now()
	}
	metadata.Encode(header)
	target := *q.URL
	target.Scheme = "http"
	target.Host = a.endpoint.Address
	httpclient.KeepTarget(&target)
	body := q.Body.Open()
	if q.Body.ExpectContinue() {
		observer.body = &withheldBody{ReadCloser: body}
		body = observer.body
	}
	request := &http.Request{
		Method: q.Method, URL: &target, Host: q.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: body, ContentLength: q.Body.Length(),
	}
	return request.WithContext(withTrace(ctx, observer))
}

// hopHeaderCount is the number of headers that hop.Request.Encode sets.
const hopHeaderCount = 1

// hopRequest returns the metadata of an attempt, without the logical time.
func (s *Service) hopRequest(a attempt) hop.Request {
	q, now := a.request, s.clock.Now()
	return hop.Request{
		ID: q.ID, Service: q.Destination.Service.Name, Route: q.Route.Name,
		Target: a.endpoint.ID.Instance, Origin: s.config.Origin,
		Class: q.Route.Class, Priority: q.Priority, Idempotent: q.Route.Idempotent, Attempt: a.number,
		Timeout:      q.Deadline.Sub(now),
		SoftTimeout:  max(q.SoftDeadline.Sub(now), 0),
		FinalAttempt: q.FinalAttempt,
		MaxQueueWait: a.maxQueueWait,
		Incarnation:  a.endpoint.ID.Incarnation,
		Sender:       s.config.Sender,
		Sent:         now.Sub(s.start),
		BodyDigest:   q.Body.Digest(),
	}
}

// classifyFailure returns the result of an attempt that failed without a response;
// wrote is true if a byte of the request may have been written.
func classifyFailure(ctx context.Context, body *call.Body, wrote bool) retry.Result {
	r := retry.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonUnreachable}
	if wrote {
		r = retry.Result{Outcome: model.OutcomeUnknown, Reason: model.ReasonConnectionLost}
	}
	switch {
	case context.Cause(ctx) == call.ErrDeadline && wrote:
		r.Reason = model.ReasonDeadline
	case context.Cause(ctx) == call.ErrDeadline:
		r.Reason = model.ReasonLate
	case context.Cause(ctx) == call.ErrNodeStopping:
		r.Reason = model.ReasonLeaving
	case call.IsTooLarge(body.Err()):
		r.Reason = model.ReasonTooLarge
	case ctx.Err() != nil || body.Err() != nil:
		r.Reason = model.ReasonCancelled
	}
	return r
}

// withoutCancelled replaces the reason "cancelled" of a gate while the caller still waits:
// the gate lost the connection to this node or did not receive the body in time. The
// request may be sent again, and its caller gets a status that states the outcome.
func withoutCancelled(ctx context.Context, r result) result {
	if r.Reason != model.ReasonCancelled || ctx.Err() != nil {
		return r
	}
	r.Reason = model.ReasonConnectionLost
	if r.Outcome == model.OutcomeNotRun {
		r.Reason = model.ReasonUnreachable
	}
	r.report.Reason = r.Reason
	return r
}

func withoutResponse(r retry.Result, elapsed time.Duration) result {
	return result{Result: r, report: balance.Report{Outcome: r.Outcome, Reason: r.Reason, Latency: elapsed}}
}

// interpretResponse returns the outcome and the load that the gate reported. The
// latency excludes the wait for a slot.
func interpretResponse(response *http.Response, head hop.Response, elapsed time.Duration) result {
	r := retry.Result{Outcome: head.Outcome, Reason: head.Reason, RetryAfter: head.RetryAfter}
	report := balance.Report{
		Outcome: head.Outcome, Reason: head.Reason, Reported: true,
		Load: balance.Load{InFlight: head.Load.InFlight, Queued: head.Load.Queued, Wait: head.Load.Wait},
	}
	if response.StatusCode < http.StatusInternalServerError {
		report.Latency = max(elapsed-head.Waited, 0) // a quick error does not show the server's speed
	}
	if head.Outcome == model.OutcomeNotRun && head.Reason == model.ReasonBusy {
		report.Hop = elapsed
	}
	return result{Result: r, report: report}
}

// delimited reports whether a complete body can be distinguished from one that ends
// because the connection broke.
func delimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody ||
		r.Request.Method == http.MethodHead
}
