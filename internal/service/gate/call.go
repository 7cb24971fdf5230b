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

// call is one forwarded request at the gate.
type call struct {
	hop.Request
	w           http.ResponseWriter
	r           *http.Request
	deadline    time.Time
	fingerprint quarantine.Fingerprint
	// keys and identity are set for requests that are remembered.
	keys     []dedupe.Key
	identity uint64
	// idempotencyKey is the caller's key, or empty; copies are the members that
	// have recorded it.
	idempotencyKey string
	copies         []model.Member
	// arrived is when the gate got the call, started when it went to the server.
	arrived, started time.Time
	// heldUp is how much longer the call was under way than others of its sender.
	heldUp time.Duration
	// suspicion is the quarantine's decision on the request.
	suspicion quarantine.Decision

	// The fields below are set and cleared in the gate's critical section.
	ticket admission.Ticket
	// entry is set while the request must still be ended in the memory.
	entry *dedupe.Entry
	// slot and repeat receive the decision on a request that waits.
	slot   chan admission.Decision
	repeat chan dedupe.Decision
	// counted is true while a drain waits for the request, admitted while it
	// holds a slot or a place in the queue.
	counted, admitted bool
}

func (s *Service) newCall(w http.ResponseWriter, r *http.Request, request hop.Request) *call {
	key := r.Header.Get(idempotencyHeader)
	shape := quarantine.Attributes{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		BodyLength: r.ContentLength, IdempotencyKey: key,
	}
	c := &call{Request: request, w: w, r: r, arrived: s.clock.Now(), fingerprint: shape.Fingerprint()}
	c.heldUp = s.heldUp(request, c.arrived)
	c.deadline = c.arrived.Add(request.Timeout - c.heldUp)
	if !request.Idempotent {
		c.remember(shape, key)
	}
	return c
}

// heldUp returns by how much longer a request was under way than the fastest one of
// its sender: in the queue of a link full of requests it can outlive its caller.
func (s *Service) heldUp(request hop.Request, arrived time.Time) time.Duration {
	s.delaysMu.Lock()
	defer s.delaysMu.Unlock()
	return s.delays.Observe(request.Sender, request.Sent, arrived.Sub(s.start))
}

// remember sets the keys under which repeats are found. A stored answer goes
// only to a repeat with the same credentials.
func (c *call) remember(shape quarantine.Attributes, key string) {
	c.keys = append(c.keys, dedupe.RequestKey(c.ID))
	if key != "" {
		c.idempotencyKey = key
		c.keys = append(c.keys, dedupe.IdempotencyKey(c.Route, key))
	}
	shape.IdempotencyKey += "\n" + c.r.Header.Get("Authorization")
	c.identity = uint64(shape.Fingerprint())
}

// context returns the context in which the request runs on the server. It ends
// with the deadline and, for idempotent requests only, when the caller's node
// goes away: ending any other request would lose its answer.
func (c *call) context(clk clock.Clock) (context.Context, context.CancelFunc) {
	parent := c.r.Context()
	if !c.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return clock.WithTimeout(parent, clk, c.deadline.Sub(clk.Now()))
}

// slotRequest returns what the admission needs to know of the call.
func (c *call) slotRequest() admission.Request {
	return admission.Request{
		Ticket: c.ticket, Class: c.Class, Kind: c.Route, Priority: c.Priority, LastChance: c.LastChance, Patience: c.Patience,
		Deadline: c.deadline, UsefulUntil: c.arrived.Add(c.Useful - c.heldUp), Exclusive: c.exclusive(),
	}
}

// waited returns how long the call waited before it went to the server, 0 if it
// did not.
func (c *call) waited() time.Duration {
	if c.started.IsZero() {
		return 0
	}
	return c.started.Sub(c.arrived)
}

// exclusive reports whether the request is a suspect that runs alone.
func (c *call) exclusive() bool { return c.suspicion.Verdict == quarantine.RunAlone }

// identified reports whether requests with this fingerprint cannot differ in
// their bodies, so that a harmless one speaks for the others.
func (c *call) identified() bool {
	return c.r.ContentLength == 0 || c.r.Header.Get(idempotencyHeader) != ""
}

// refusal is the end of a call that is not answered by the server.
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
