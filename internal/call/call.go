// Package call holds what the service that takes callers' requests and the one
// that forwards them hand to each other: a routed request with its body, and
// the answer.
package call

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// ErrDeadline is the cause of a context that ended at the request's deadline.
var ErrDeadline = eris.New("the deadline of the request has passed")

// Request is one request of a caller together with its route.
type Request struct {
	ID          model.RequestID
	Route       *model.Route
	Destination *route.Destination
	Method      string
	// URL holds path and query; Host is the caller's Host header.
	URL  *url.URL
	Host string
	// Header holds the end-to-end headers, none of which is a node's own.
	Header http.Header
	Body   *Body
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Deadline is the end of the time for the whole answer, UsefulUntil of the
	// time in which it is of full use.
	Deadline, UsefulUntil time.Time
	// LastChance is true if a caller that is refused has no time to come again.
	LastChance bool
}

// RoutedByKey reports whether the request goes to the server that owns its key, if it
// can.
func (r *Request) RoutedByKey() bool { return !r.Route.Idempotent && r.IdempotencyKey != "" }

// Result is the result of a forwarded request.
type Result struct {
	Outcome model.Outcome
	// Reason is empty for an answered request.
	Reason model.Reason
	// RetryAfter is the delay after which a retry makes sense; 0 means unknown.
	RetryAfter time.Duration
	// Attempts counts the attempts, questions and hedges included.
	Attempts int
	// Response is set for an answered request. Its body must be closed.
	Response *Response
}

// Response is the head of a server's answer and the stream of its body. A read
// error other than io.EOF means that the answer is broken.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64
	Body   io.ReadCloser
	// Trailer is filled when the body has been read.
	Trailer http.Header
}

// BufferBody reads a body of known length up to limit bytes into memory. It
// returns an error if the body breaks. Longer bodies remain streams.
func (r *Response) BufferBody(limit int64) error {
	if r.Length <= 0 || r.Length > limit || r.Body == http.NoBody {
		return nil
	}
	data := make([]byte, r.Length)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return err
	}
	r.Body = &readBody{Reader: bytes.NewReader(data), Closer: r.Body}
	return nil
}

// readBody is a body that was read before.
type readBody struct {
	io.Reader
	io.Closer
}
