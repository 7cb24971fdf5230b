// Package hop encodes what two nodes tell each other about one forwarded
// request. The request itself travels as plain HTTP to the traffic address of
// the node beside the chosen server; this package owns the extra headers.
package hop

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// The headers of a forwarded request and of its answer. Nodes strip them from
// callers' requests.
const (
	HeaderRequestID   = "Galena-Request-Id"
	HeaderService     = "Galena-Service"
	HeaderTarget      = "Galena-Target"
	HeaderOrigin      = "Galena-Origin"
	HeaderPriority    = "Galena-Priority"
	HeaderRoute       = "Galena-Route"
	HeaderClass       = "Galena-Class"
	HeaderIdempotent  = "Galena-Idempotent"
	HeaderAttempt     = "Galena-Attempt"
	HeaderTimeout     = "Galena-Timeout-Us"
	HeaderUseful      = "Galena-Useful-Us"
	HeaderPatience    = "Galena-Patience-Us"
	HeaderIncarnation = "Galena-Incarnation"
	HeaderTime        = "Galena-Time"
	HeaderOutcome     = "Galena-Outcome"
	HeaderReason      = "Galena-Reason"
	HeaderRetryAfter  = "Galena-Retry-After-Us"
	HeaderWaited      = "Galena-Waited-Us"
	HeaderWait        = "Galena-Wait-Us"
	HeaderInFlight    = "Galena-In-Flight"
	HeaderQueued      = "Galena-Queued"
	HeaderSlots       = "Galena-Slots"
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
	// Patience is the longest wait for a slot after which the caller's node
	// would choose another server; 0 means that it has none.
	Patience time.Duration
	// Incarnation is the gate's process that the caller's node means; 0 means
	// any. A gate refuses a request that means another process.
	Incarnation model.Incarnation
	Time        timeline.Timestamp
}

// Encode sets the headers of a forwarded request.
func (r Request) Encode(h http.Header) {
	h.Set(HeaderRequestID, string(r.ID))
	h.Set(HeaderService, string(r.Service))
	h.Set(HeaderTarget, string(r.Target))
	h.Set(HeaderOrigin, string(r.Origin))
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	h.Set(HeaderRoute, r.Route)
	h.Set(HeaderClass, string(r.Class))
	h.Set(HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	h.Set(HeaderAttempt, strconv.Itoa(r.Attempt))
	h.Set(HeaderTimeout, strconv.FormatInt(r.Timeout.Microseconds(), 10))
	h.Set(HeaderUseful, strconv.FormatInt(r.Useful.Microseconds(), 10))
	if r.Patience > 0 {
		h.Set(HeaderPatience, strconv.FormatInt(r.Patience.Microseconds(), 10))
	}
	h.Set(HeaderIncarnation, strconv.FormatUint(uint64(r.Incarnation), 10))
	h.Set(HeaderTime, strconv.FormatUint(uint64(r.Time), 10))
}

// DecodeRequest reads the headers of a forwarded request. It reports false if
// the request did not come from a node.
func DecodeRequest(h http.Header) (Request, bool) {
	r := Request{
		ID:         model.RequestID(h.Get(HeaderRequestID)),
		Service:    model.ServiceName(h.Get(HeaderService)),
		Target:     model.InstanceID(h.Get(HeaderTarget)),
		Origin:     model.ServiceName(h.Get(HeaderOrigin)),
		Route:      h.Get(HeaderRoute),
		Class:      model.Class(h.Get(HeaderClass)),
		Idempotent: h.Get(HeaderIdempotent) == "true",
	}
	var ok [4]bool
	var attempt, incarnation, now, priority int64
	priority, _ = number(h, HeaderPriority) // a request without one is the most urgent
	if r.Useful, ok[1] = microseconds(h, HeaderUseful); !ok[1] {
		r.Useful, _ = microseconds(h, HeaderTimeout) // until the deadline, which is checked below
	}
	r.Patience, _ = microseconds(h, HeaderPatience) // absent without another server
	attempt, ok[0] = number(h, HeaderAttempt)
	r.Timeout, ok[1] = microseconds(h, HeaderTimeout)
	incarnation, ok[2] = number(h, HeaderIncarnation)
	now, ok[3] = number(h, HeaderTime)
	r.Attempt = int(attempt)
	r.Priority = int(priority)
	r.Incarnation = model.Incarnation(incarnation)
	r.Time = timeline.Timestamp(now)
	valid := r.ID != "" && r.Service != "" && ok == [4]bool{true, true, true, true}
	return r, valid
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

// Encode sets the headers of an answer.
func (r Response) Encode(h http.Header) {
	h.Set(HeaderRequestID, string(r.ID))
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.Reason != "" {
		h.Set(HeaderReason, string(r.Reason))
	}
	if r.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(r.RetryAfter.Microseconds(), 10))
	}
	if r.Waited > 0 {
		h.Set(HeaderWaited, strconv.FormatInt(r.Waited.Microseconds(), 10))
	}
	if r.Load.Wait > 0 {
		h.Set(HeaderWait, strconv.FormatInt(r.Load.Wait.Microseconds(), 10))
	}
	h.Set(HeaderInFlight, strconv.Itoa(r.Load.InFlight))
	h.Set(HeaderQueued, strconv.Itoa(r.Load.Queued))
	h.Set(HeaderSlots, strconv.Itoa(r.Load.Slots))
	h.Set(HeaderIncarnation, strconv.FormatUint(uint64(r.Incarnation), 10))
	h.Set(HeaderTime, strconv.FormatUint(uint64(r.Time), 10))
}

// DecodeResponse reads the headers of an answer. It reports false if the answer
// did not come from a gate.
func DecodeResponse(h http.Header) (Response, bool) {
	retryAfter, _ := microseconds(h, HeaderRetryAfter)
	waited, _ := microseconds(h, HeaderWaited)
	wait, _ := microseconds(h, HeaderWait)
	inFlight, _ := number(h, HeaderInFlight)
	queued, _ := number(h, HeaderQueued)
	slots, _ := number(h, HeaderSlots)
	incarnation, _ := number(h, HeaderIncarnation)
	now, _ := number(h, HeaderTime)
	r := Response{
		ID:          model.RequestID(h.Get(HeaderRequestID)),
		Outcome:     model.ParseOutcome(h.Get(HeaderOutcome)),
		Reason:      model.Reason(h.Get(HeaderReason)),
		RetryAfter:  retryAfter,
		Waited:      waited,
		Load:        Load{InFlight: int(inFlight), Queued: int(queued), Slots: int(slots), Wait: wait},
		Incarnation: model.Incarnation(incarnation),
		Time:        timeline.Timestamp(now),
	}
	return r, r.ID != "" && h.Get(HeaderOutcome) != ""
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

// number reads a non-negative decimal header.
func number(h http.Header, name string) (int64, bool) {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0, false
	}
	return n, true
}

// microseconds reads a duration. One that time.Duration cannot hold is not
// valid.
func microseconds(h http.Header, name string) (time.Duration, bool) {
	n, ok := number(h, name)
	if !ok || n > int64(math.MaxInt64/time.Microsecond) {
		return 0, false
	}
	return time.Duration(n) * time.Microsecond, true
}
