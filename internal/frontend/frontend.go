// Package frontend separates what a node reads from and tells to callers and
// backend servers from the headers that carry it. The services work with the
// typed values; an implementation of Headers owns the names.
package frontend

import (
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Headers reads and sets the headers of one protocol for callers and servers.
// Its methods are called by many goroutines at a time.
type Headers interface {
	// Caller reads what a caller says of its request. The error describes a
	// malformed header.
	Caller(h http.Header) (CallerRequest, error)
	// Refuse sets the headers of an answer that no server gave.
	Refuse(h http.Header, r Refusal)
	// ToServer sets the headers that a server expects, in place of any that
	// the caller sent under the same names.
	ToServer(h http.Header, r ServerRequest)
	// FromServer reads what a server says with its answer.
	FromServer(status int, h http.Header) ServerAnswer
}

// CallerRequest is what a caller says of its request.
type CallerRequest struct {
	// ID is the caller's own ID of the request, unique in the mesh; empty if it
	// has none.
	ID model.RequestID
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
}

// Refusal is an answer that no server gave.
type Refusal struct {
	Status  int
	Outcome model.Outcome
	Reason  model.Reason
	// RetryAfter is the delay after which a retry makes sense; 0 if a retry is
	// not invited.
	RetryAfter time.Duration
}

// ServerRequest is what a server is told of a request.
type ServerRequest struct {
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Target is the instance that is meant; any other one must refuse.
	Target model.InstanceID
	// Origin is the service of the instance where the request began.
	Origin model.ServiceName
}

// ServerAnswer is what a server says with an answer.
type ServerAnswer struct {
	// ID repeats the request's ID. Servers that repeat it do so in every
	// answer, so an empty one is no answer to the request, unless Anonymous.
	ID        model.RequestID
	WithoutID bool
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Misdirected is true if another instance has answered than was meant.
	Misdirected bool
	// Load is the server's own account of its load, if Loaded.
	Load    Load
	HasLoad bool
}

// Load is a server's own account of its load.
type Load struct {
	// Running counts the requests that hold a slot, Waiting those that queue.
	Running, Waiting, Slots int
	// Slowdown is how long work takes at present, relative to 1 for as usual.
	Slowdown float64
}
