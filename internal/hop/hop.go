// Package hop encodes the metadata that two nodes exchange about one forwarded
// request. The request itself is sent as plain HTTP to the traffic address of the
// node beside the chosen server; this package defines the extra headers.
package hop

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// Names of the headers. Nodes remove them from the requests of callers.
const (
	// HeaderRequest and HeaderResponse carry the metadata between nodes. Each is
	// one URL-encoded list of fields with short names, because traffic between
	// failure domains is costly and a refusal consists of little else.
	HeaderRequest  = "Galena-Hop"
	HeaderResponse = "Galena-Gate"
	// HeaderRequestID, HeaderOutcome and HeaderReason are sent to callers.
	HeaderRequestID = "Galena-Request-Id"
	HeaderOutcome   = "Galena-Outcome"
	HeaderReason    = "Galena-Reason"
)

// Names of the fields of HeaderRequest.
const (
	fieldID           = "i"
	fieldService      = "s"
	fieldTarget       = "t"
	fieldOrigin       = "o"
	fieldRoute        = "r"
	fieldClass        = "c"
	fieldPriority     = "p"
	fieldIdempotent   = "d"
	fieldAttempt      = "a"
	fieldFinalAttempt = "x"
	fieldTimeout      = "l"
	fieldSoftTimeout  = "u"
	fieldMaxQueueWait = "w"
	fieldIncarnation  = "n"
	fieldTime         = "h"
	fieldSender       = "b"
	fieldSent         = "m"
	fieldBodyDigest   = "g"
)

// Names of the fields of HeaderResponse, which also has fieldID, fieldIncarnation
// and fieldTime.
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

// StatusServerLost is the status of the interim response with which a gate announces that it
// has lost its server while the request ran. The final response follows once the gates of
// the service know the request as a suspect. Callers' nodes that do not know it ignore it.
const StatusServerLost = http.StatusEarlyHints

// HeaderPrefix is the prefix of all header names of this package, in canonical
// form.
const HeaderPrefix = "Galena-"

// Request is the metadata that the caller's node sends to the gate.
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
	// Attempt is the number of the attempt, starting at 1.
	Attempt int
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// SoftTimeout is the time left to meet the latency objective; 0 means that it
	// has passed. Without an objective it equals Timeout.
	SoftTimeout time.Duration
	// FinalAttempt is true if the caller has no time left to retry when refused.
	FinalAttempt bool
	// MaxQueueWait is the longest predicted wait for a slot at which the caller's
	// node still prefers this server; 0 means no limit, because there is no other
	// server.
	MaxQueueWait time.Duration
	// Incarnation identifies the gate process that the request is meant for; 0
	// means any. A gate refuses a request that is meant for another process.
	Incarnation model.Incarnation
	// Time is the logical time of the sending node; 0 means none.
	Time timeline.Timestamp
	// Sender is a number that identifies the sending process. Sent is the time
	// since the start of that process at which it computed the durations above.
	// From them the gate derives how much longer the request was in transit than
	// the fastest one of the sender. A Sender of 0 means that they are unknown.
	Sender uint64
	Sent   time.Duration
	// BodyDigest is a digest of the first part of the body, see call.Body; 0 means none.
	BodyDigest uint32
}

// Encode sets HeaderRequest. Negative numbers and durations are sent as 0;
// durations are rounded down to whole microseconds.
func (r Request) Encode(h http.Header) {
	var f fieldWriter
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
	f.duration(fieldSoftTimeout, r.SoftTimeout)
	if r.FinalAttempt {
		f.number(fieldFinalAttempt, 1)
	}
	f.duration(fieldMaxQueueWait, r.MaxQueueWait)
	f.number(fieldIncarnation, uint64(r.Incarnation))
	f.number(fieldTime, uint64(r.Time))
	f.number(fieldSender, r.Sender)
	f.duration(fieldSent, r.Sent)
	f.number(fieldBodyDigest, uint64(r.BodyDigest))
	h[HeaderRequest] = []string{f.String()}
}

// DecodeRequest reads HeaderRequest. It reports false if the header is missing or
// malformed, which means that the request did not come from a node.
func DecodeRequest(h http.Header) (Request, bool) {
	f, ok := parseFields(h.Get(HeaderRequest))
	r := Request{
		ID:           model.RequestID(f.text(fieldID)),
		Service:      model.ServiceName(f.text(fieldService)),
		Target:       model.InstanceID(f.text(fieldTarget)),
		Origin:       model.ServiceName(f.text(fieldOrigin)),
		Route:        f.text(fieldRoute),
		Class:        model.Class(f.text(fieldClass)),
		Priority:     int(f.number(fieldPriority)),
		Idempotent:   f.number(fieldIdempotent) == 1,
		Attempt:      int(f.number(fieldAttempt)),
		Timeout:      f.duration(fieldTimeout),
		SoftTimeout:  f.duration(fieldSoftTimeout),
		FinalAttempt: f.number(fieldFinalAttempt) == 1,
		MaxQueueWait: f.duration(fieldMaxQueueWait),
		Incarnation:  model.Incarnation(f.number(fieldIncarnation)),
		Time:         timeline.Timestamp(f.number(fieldTime)),
		Sender:       uint64(f.number(fieldSender)),
		Sent:         f.duration(fieldSent),
		BodyDigest:   uint32(f.number(fieldBodyDigest)),
	}
	return r, ok && !f.malformed && r.ID != "" && r.Service != ""
}

// Response is the metadata that the gate sends to the caller's node.
type Response struct {
	// ID repeats the request's ID, so that the response to another request is
	// detected.
	ID      model.RequestID
	Outcome model.Outcome
	// Reason is empty for an answered request.
	Reason model.Reason
	// RetryAfter is the delay before a retry makes sense; 0 means unknown.
	RetryAfter time.Duration
	// Waited is the time from the request's arrival at the gate until it was sent to
	// the server; 0 if it was not sent.
	Waited time.Duration
	// Load is the gate's load at the time of the response.
	Load Load
	// Incarnation identifies the gate process that responds.
	Incarnation model.Incarnation
	// Time is the logical time of the gate's node; 0 means none.
	Time timeline.Timestamp
}

// Load is the occupancy of one gate.
type Load struct {
	// InFlight is the number of requests that hold a slot, Queued the number that
	// wait for one.
	InFlight, Queued int
	// Slots is the number of slots.
	Slots int
	// Wait is the estimated time that another request like this one would wait for
	// a slot.
	Wait time.Duration
}

// Encode sets HeaderResponse. Negative numbers and durations are sent as 0;
// durations are rounded down to whole microseconds.
func (r Response) Encode(h http.Header) {
	var f fieldWriter
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

// DecodeResponse reads HeaderResponse. It reports false if the header is missing or
// malformed, which means that the response did not come from a gate.
func DecodeResponse(h http.Header) (Response, bool) {
	f, ok := parseFields(h.Get(HeaderResponse))
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
	return r, ok && !f.malformed && r.ID != "" && outcome != ""
}

// Strip removes all headers with HeaderPrefix, so that neither a caller nor a
// backend server can forge them.
func Strip(h http.Header) {
	for name := range h {
		if len(name) >= len(HeaderPrefix) && name[:len(HeaderPrefix)] == HeaderPrefix {
			delete(h, name)
		}
	}
}
