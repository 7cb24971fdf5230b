package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/admission"
	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

const idempotencyHeader = "Idempotency-Key"

// call is a forwarded request while the gate handles it.
type call struct {
	hop.Request
	w           http.ResponseWriter
	r           *http.Request
	deadline    time.Time
	fingerprint quarantine.Fingerprint
	// keys and contentFingerprint are set for requests that are remembered.
	keys               []dedupe.Key
	contentFingerprint uint64
	// idempotencyKey is the caller's key, or empty. replicas are the members that
	// hold a replica of its record.
	idempotencyKey string
	replicas       []model.Member
	// arrived is when the gate received the call, started when it was sent to the
	// server.
	arrived, started time.Time
	// oneWayDelay is by how much the call's one-way delay exceeds that of the fastest
	// one of its sender.
	oneWayDelay time.Duration
	// countedStart is true if the request counts as started for the limit of its calls.
	countedStart bool
	// quarantineDecision is the decision of the quarantine on the request.
	quarantineDecision quarantine.Decision

	// The fields below are set and cleared while Service.mu is held.
	ticket admission.Ticket
	// entry is the request's entry in the memory until its outcome is recorded
	// there.
	entry *dedupe.Entry
	// slotDecision and repeatDecision receive the decision on a request that waits.
	slotDecision   chan admission.Decision
	repeatDecision chan dedupe.Decision
	// active is true while the request counts in Service.activeCalls, admitted
	// while it holds a slot or is queued.
	active, admitted bool
}

func (s *Service) newCall(w http.ResponseWriter, r *http.Request, request hop.Request) *call {
	arrived := s.clock.Now()
	return s.describeCall(w, r, request, arrived, s.oneWayDelay(request, arrived))
}

func (s *Service) describeCall(
	w http.ResponseWriter, r *http.Request, request hop.Request, arrived time.Time, oneWayDelay time.Duration,
) *call {
	key := r.Header.Get(idempotencyHeader)
	attributes := quarantine.Attributes{
		Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		BodyLength: r.ContentLength, BodyDigest: request.BodyDigest, IdempotencyKey: key,
	}
	if s.headers.StatesOrigin() {
		attributes.Caller = request.Origin
	}
	c := &call{Request: request, w: w, r: r, arrived: arrived, oneWayDelay: oneWayDelay, fingerprint: attributes.Fingerprint()}
	c.deadline = c.arrived.Add(request.Timeout - c.oneWayDelay)
	if !request.Idempotent {
		c.setKeys(attributes, key)
	}
	return c
}

// oneWayDelay returns by how much a request's one-way delay exceeds that of the
// fastest one of its sender. A request that was queued on a congested link can
// arrive after its caller has timed out.
func (s *Service) oneWayDelay(request hop.Request, arrived time.Time) time.Duration {
	s.delayEstimatorMu.Lock()
	defer s.delayEstimatorMu.Unlock()
	return s.delayEstimator.Observe(request.Sender, request.Sent, arrived.Sub(s.start))
}

// setKeys sets the keys that identify repeats of the call. A stored response is
// returned only to a repeat with the same credentials. The repeat may come from another
// caller's instance.
func (c *call) setKeys(attributes quarantine.Attributes, key string) {
	c.keys = append(c.keys, dedupe.RequestKey(c.ID))
	if key != "" {
		c.idempotencyKey = key
		c.keys = append(c.keys, dedupe.IdempotencyKey(c.Route, key))
	}
	attributes.Caller = ""
	attributes.IdempotencyKey += "\n" + c.r.Header.Get("Authorization")
	c.contentFingerprint = uint64(attributes.Fingerprint())
}

// context returns the context in which the request runs on the server. It ends at
// the deadline. For idempotent requests it also ends when the caller's node
// disconnects; cancelling any other request would lose its response.
func (c *call) context(clk clock.Clock) (context.Context, context.CancelFunc) {
	parent := c.r.Context()
	if !c.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return clock.WithTimeout(parent, clk, c.deadline.Sub(clk.Now()))
}

// slotRequest returns the call as the admission control sees it.
func (c *call) slotRequest() admission.Request {
	return admission.Request{
		Ticket: c.ticket, Class: c.slotClass(), Kind: c.Route, Priority: c.Priority, FinalAttempt: c.FinalAttempt, MaxQueueWait: c.MaxQueueWait,
		Deadline: c.deadline, SoftDeadline: c.arrived.Add(c.SoftTimeout - c.oneWayDelay), Exclusive: c.exclusive(),
	}
}

// waited returns the time from the call's arrival until it was sent to the server,
// or 0 if it was not sent.
func (c *call) waited() time.Duration {
	if c.started.IsZero() {
		return 0
	}
	return c.started.Sub(c.arrived)
}

// exclusive reports whether the request is a suspect, which must run alone.
func (c *call) exclusive() bool { return c.quarantineDecision.Verdict == quarantine.RunAlone }

// fingerprintCoversBody reports whether requests with this fingerprint have equal
// bodies, so that one that runs without a crash clears the others.
func (c *call) fingerprintCoversBody() bool {
	return c.r.ContentLength == 0 || c.BodyDigest != 0 || c.r.Header.Get(idempotencyHeader) != ""
}

// refusal is the outcome of a call for which the gate responds instead of the
// server.
type refusal struct {
	outcome    model.Outcome
	reason     model.Reason
	retryAfter time.Duration
}

func notRun(reason model.Reason) *refusal {
	return &refusal{outcome: model.OutcomeNotRun, reason: reason}
}

func unknown(reason model.Reason) *refusal {
	return &refusal{outcome: model.OutcomeUnknown, reason: reason}
}
