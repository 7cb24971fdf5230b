// Package hop encodes what two nodes tell each other about one forwarded
// request. The request itself travels as plain HTTP to the traffic address of
// the node beside the chosen server; this package owns the extra headers.
package hop

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// The headers of this package. Nodes strip them from callers' requests.
const (
	// HeaderRequest and HeaderResponse hold what the nodes tell each other, as
	// one list of short fields: links between failure domains are costly, and
	// a refusal is hardly more than these.
	HeaderRequest  = "Galena-Hop"
	HeaderResponse = "Galena-Gate"
	// HeaderRequestID, HeaderOutcome and HeaderReason are told to callers.
	HeaderRequestID = "Galena-Request-Id"
	HeaderOutcome   = "Galena-Outcome"
	HeaderReason    = "Galena-Reason"
)

// The fields of HeaderRequest.
const (
	fieldID          = "i"
	fieldService     = "s"
	fieldTarget      = "t"
	fieldOrigin      = "o"
	fieldRoute       = "r"
	fieldClass       = "c"
	fieldPriority    = "p"
	fieldIdempotent  = "d"
	fieldAttempt     = "a"
	fieldLastChance  = "x"
	fieldTimeout     = "l"
	fieldUseful      = "u"
	fieldPatience    = "w"
	fieldIncarnation = "n"
	fieldTime        = "h"
	fieldSender      = "b"
	fieldSent        = "m"
)

// The fields of HeaderResponse besides fieldID, fieldIncarnation and fieldTime.
const (
	fieldOutcome    = "o"
	fieldReason     = "e"
	fieldRetryAfter = "r"
	fieldWaited     = "q"
	fieldInFlight   = "f"
	fieldQueued     = "u"
	fieldSlots      = "s"
	fieldWait       = "w"
)

// HeaderPrefix is the canonical start of all headers of this package.
const HeaderPrefix = "Galena-"

// Request is what the caller's node tells the gate.
type Request struct {
	ID      model.RequestID
	Service model.ServiceName
	// Target is the instance that the caller's node has chosen.
	Target model.InstanceID
	// Origin is the service of the instance where the request began.
	Origin model.ServiceName
	Route  string
	Class  model.Class
	// Priority ranks the request; 0 is the most urgent.
	Priority   int
	Idempotent bool
	// Attempt counts from 1.
	Attempt int
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Useful is the time left in which an answer is of full use.
	Useful time.Duration
	// LastChance is true if a caller that is refused has no time to come again.
	LastChance bool
	// Patience is the longest wait for a slot after which the caller's node
	// would choose another server; 0 means that it has none.
	Patience time.Duration
	// Incarnation is the gate's process that the caller's node means; 0 means
	// any. A gate refuses a request that means another process.
	Incarnation model.Incarnation
	Time        timeline.Timestamp
	// Sender is a number of the sending process, Sent the time since its start at
	// which it worked out the times above. They tell how long the request was
	// under way. A Sender of 0 means that they are not known.
	Sender uint64
	Sent   time.Duration
}

// Encode sets the header of a forwarded request.
func (r Request) Encode(h http.Header) {
	var f writer
	f.text(fieldID, string(r.ID))
	f.text(fieldService, string(r.Service))
	f.text(fieldTarget, string(r.Target))
	f.text(fieldOrigin, string(r.Origin))
	f.text(fieldRoute, r.Route)
	f.text(fieldClass, string(r.Class))
	f.number(fieldPriority, uint64(max(r.Priority, 0)))
	if r.Idempotent {
		f.number(fieldIdempotent, 1)
	}
	f.number(fieldAttempt, uint64(max(r.Attempt, 0)))
	f.duration(fieldTimeout, r.Timeout)
	f.duration(fieldUseful, r.Useful)
	if r.LastChance {
		f.number(fieldLastChance, 1)
	}
	f.duration(fieldPatience, r.Patience)
	f.number(fieldIncarnation, uint64(r.Incarnation))
	f.number(fieldTime, uint64(r.Time))
	f.number(fieldSender, r.Sender)
	f.duration(fieldSent, r.Sent)
	h[HeaderRequest] = []string{f.String()}
}

// DecodeRequest reads the header of a forwarded request. It reports false if
// the request did not come from a node.
func DecodeRequest(h http.Header) (Request, bool) {
	f, ok := parse(h.Get(HeaderRequest))
	r := Request{
		ID:          model.RequestID(f.text(fieldID)),
		Service:     model.ServiceName(f.text(fieldService)),
		Target:      model.InstanceID(f.text(fieldTarget)),
		Origin:      model.ServiceName(f.text(fieldOrigin)),
		Route:       f.text(fieldRoute),
		Class:       model.Class(f.text(fieldClass)),
		Priority:    int(f.number(fieldPriority)),
		Idempotent:  f.number(fieldIdempotent) == 1,
		Attempt:     int(f.number(fieldAttempt)),
		Timeout:     f.duration(fieldTimeout),
		Useful:      f.duration(fieldUseful),
		LastChance:  f.number(fieldLastChance) == 1,
		Patience:    f.duration(fieldPatience),
		Incarnation: model.Incarnation(f.number(fieldIncarnation)),
		Time:        timeline.Timestamp(f.number(fieldTime)),
		Sender:      uint64(f.number(fieldSender)),
		Sent:        f.duration(fieldSent),
	}
	return r, ok && !f.faulty && r.ID != "" && r.Service != ""
}

// Response is what the gate tells the caller's node.
type Response struct {
	// ID repeats the request's ID, so that a crossed answer is noticed.
	ID      model.RequestID
	Outcome model.Outcome
	// Reason is empty for an answered request.
	Reason model.Reason
	// RetryAfter is the delay before a retry makes sense; 0 means none known.
	RetryAfter time.Duration
	// Waited is how long the request waited for a slot.
	Waited time.Duration
	// Load is the gate's load as it answered.
	Load        Load
	Incarnation model.Incarnation
	Time        timeline.Timestamp
}

// Load is the occupancy of one gate.
type Load struct {
	// InFlight counts the requests that hold a slot, Queued those that wait.
	InFlight, Queued int
	// Slots is the number of slots.
	Slots int
	// Wait is how long a request like this one would wait for a slot now.
	Wait time.Duration
}

// Encode sets the header of an answer.
func (r Response) Encode(h http.Header) {
	var f writer
	f.text(fieldID, string(r.ID))
	f.text(fieldOutcome, r.Outcome.String())
	f.text(fieldReason, string(r.Reason))
	f.duration(fieldRetryAfter, r.RetryAfter)
	f.duration(fieldWaited, r.Waited)
	f.number(fieldInFlight, uint64(max(r.Load.InFlight, 0)))
	f.number(fieldQueued, uint64(max(r.Load.Queued, 0)))
	f.number(fieldSlots, uint64(max(r.Load.Slots, 0)))
	f.duration(fieldWait, r.Load.Wait)
	f.number(fieldIncarnation, uint64(r.Incarnation))
	f.number(fieldTime, uint64(r.Time))
	h[HeaderResponse] = []string{f.String()}
}

// DecodeResponse reads the header of an answer. It reports false if the answer
// did not come from a gate.
func DecodeResponse(h http.Header) (Response, bool) {
	f, ok := parse(h.Get(HeaderResponse))
	outcome := f.text(fieldOutcome)
	r := Response{
		ID:         model.RequestID(f.text(fieldID)),
		Outcome:    model.ParseOutcome(outcome),
		Reason:     model.Reason(f.text(fieldReason)),
		RetryAfter: f.duration(fieldRetryAfter),
		Waited:     f.duration(fieldWaited),
		Load: Load{
			InFlight: int(f.number(fieldInFlight)), Queued: int(f.number(fieldQueued)),
			Slots: int(f.number(fieldSlots)), Wait: f.duration(fieldWait),
		},
		Incarnation: model.Incarnation(f.number(fieldIncarnation)),
		Time:        timeline.Timestamp(f.number(fieldTime)),
	}
	return r, ok && !f.faulty && r.ID != "" && outcome != ""
}

// Strip removes the headers of this package, so that neither a caller nor a
// backend server can forge them.
func Strip(h http.Header) {
	for name := range h {
		if len(name) >= len(HeaderPrefix) && name[:len(HeaderPrefix)] == HeaderPrefix {
			delete(h, name)
		}
	}
}
