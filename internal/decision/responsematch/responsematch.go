// Package responsematch decides whether a response that arrives on a kept connection
// belongs to the request that waits there. A faulty server may send a response twice,
// and the copy then arrives where the response to the next request is expected. The
// package does no I/O.
package responsematch

import (
	"slices"
	"sync"

	"github.com/galenalever/galenalever/internal/model"
)

// maxRefused is the number of refusals that are remembered for a connection. Requests
// are repeated soon or not at all.
const maxRefused = 64

// Response is what a response says about the request to which it belongs.
type Response struct {
	// ID is the request that it names. WithoutID is true if responses of its kind name
	// none.
	ID        model.RequestID
	WithoutID bool
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// SwitchesProtocol is true if what follows on the connection is another protocol.
	SwitchesProtocol bool
	// NotFinal is true if its status is not one of a final response, such as 000.
	NotFinal bool
	// UnclearLength is true if its length was given, but in a way that was not read.
	UnclearLength bool
	// Spliced is true if its head contains the beginning of another response.
	Spliced bool
	// Incomplete is true if it lacks a header that every response of its kind carries.
	Incomplete bool
}

// Connection records what a connection has carried. The zero value is a new connection.
// It is safe for concurrent use, as the next request can be sent on a connection before
// the response to the last one has been judged.
type Connection struct {
	mu sync.Mutex
	// used is true after the first request.
	used bool
	// refused holds the IDs of the last requests that the server refused.
	refused []model.RequestID
}

// Exchange is a request on a connection and the response to it.
type Exchange struct {
	connection *Connection
	// first is true if the connection carried no request before.
	first bool
}

// Begin records that a request is sent.
func (c *Connection) Begin() Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.used
	c.used = true
	return Exchange{connection: c, first: first}
}

// Accept records a response and reports whether it can be the one to the request. A
// response that names another request is not. Neither is a refusal without an ID on a
// connection that was used before, or a second refusal of the same request: both may be
// copies of an earlier one, while the server runs the request. Nor is a spliced response,
// whose status and ID may come from two responses, an incomplete one, one
// whose body may end elsewhere, or one whose status is not final.
func (e Exchange) Accept(request model.RequestID, r Response) bool {
	switch {
	case r.SwitchesProtocol, r.NotFinal, r.UnclearLength:
		return false
	case r.WithoutID && !r.NotRun: // the server's protocol has no IDs
		return true
	case r.Spliced, r.Incomplete:
		return false
	case r.WithoutID:
		return e.first
	case r.ID != request:
		return false
	case !r.NotRun:
		return true
	}
	return e.connection.recordRefusal(request)
}

// recordRefusal records a refusal and reports whether it is the first one of the request.
func (c *Connection) recordRefusal(request model.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.refused, request) {
		return false
	}
	if len(c.refused) == maxRefused {
		c.refused = slices.Delete(c.refused, 0, 1)
	}
	c.refused = append(c.refused, request)
	return true
}
