// Package frontend defines the metadata that a node exchanges with callers and
// backend servers, independently of the headers that carry it. The services work
// with the typed values; an implementation of Headers defines the header names.
package frontend

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Headers reads and sets the headers of one protocol for callers and servers.
// Implementations must be safe for concurrent use.
type Headers interface {
	// Caller reads the metadata of a caller's request. The error describes a
	// malformed header.
	Caller(h http.Header) (CallerRequest, error)
	// Refuse sets the headers of a response that the node itself generates.
	Refuse(h http.Header, r Refusal)
	// ToServer sets the headers that a server expects, and replaces any that the
	// caller sent under the same names.
	ToServer(h http.Header, r ServerRequest)
	// StatesOrigin reports whether ToServer states the service where a request began, so that
	// servers may treat equal requests of other services differently.
	StatesOrigin() bool
	// FromServer reads the metadata of a server's response.
	FromServer(status int, h http.Header) ServerResponse
	// FromHealth reads how much longer the server is cold from its response to a health
	// check. It reports false if the response does not state it.
	FromHealth(h http.Header) (left time.Duration, stated bool)
}

// CallerRequest is the metadata of a caller's request.
type CallerRequest struct {
	// ID is the request ID that the caller chose, unique in the mesh; empty if
	// it sent none.
	ID model.RequestID
	// Timeout is how long the caller waits for the response; 0 if it sent none.
	Timeout time.Duration
}

// Refusal is the metadata of a response that the node itself generates.
type Refusal struct {
	Status  int
	Outcome model.Outcome
	Reason  model.Reason
	// RetryAfter is the delay before a retry makes sense; 0 means that the caller
	// is not asked to retry.
	RetryAfter time.Duration
}

// ServerRequest is the metadata of a request that a server receives.
type ServerRequest struct {
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Target is the instance that the request is meant for; any other instance
	// must refuse it.
	Target model.InstanceID
	// Origin is the service of the instance where the request began.
	Origin model.ServiceName
}

// ServerResponse is the metadata of a server's response.
type ServerResponse struct {
	// ID is the request ID that the server repeated. Servers that repeat it do so in
	// every response, so a response with another ID, even an empty one, belongs to
	// another request, unless WithoutID is true.
	ID model.RequestID
	// WithoutID is true if responses of this kind carry no request ID.
	WithoutID bool
	// Incomplete is true if the response lacks a header that every response of its kind
	// carries.
	Incomplete bool
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Misdirected is true if the server that responded is not the target.
	Misdirected bool
	// Load is the load that the server reported, if HasLoad is true.
	Load    Load
	HasLoad bool
}

// Load is the load that a server reports.
type Load struct {
	// Running is the number of requests that hold a slot, Waiting the number of
	// queued ones, Slots the number of slots.
	Running, Waiting, Slots int
	// Slowdown is the present run time of requests relative to the usual one; 1
	// means as usual.
	Slowdown float64
}
