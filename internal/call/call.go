// Package call defines the types that the ingress and forward services exchange: a
// routed request with its body, and its result.
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

// ErrNodeStopping is the cause of a context that ended because the node that serves the
// request ends.
var ErrNodeStopping = eris.New("the node ends")

// Request is one request of a caller together with its route.
type Request struct {
	ID          model.RequestID
	Route       *model.Route
	Destination *route.Destination
	Method      string
	// URL holds path and query; Host is the caller's Host header.
	URL  *url.URL
	Host string
	// Header holds the end-to-end headers without those that nodes set.
	Header http.Header
	Body   *Body
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Deadline is when the whole response must have arrived. A response by
	// SoftDeadline also meets the latency objective; without one, SoftDeadline
	// equals Deadline.
	Deadline, SoftDeadline time.Time
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// FinalAttempt is true if the caller has no time left to retry when refused.
	FinalAttempt bool
}

// RoutedByKey reports whether the request goes to the server that owns its
// idempotency key (see balance.Owner), if that server accepts requests.
func (r *Request) RoutedByKey() bool { return !r.Route.Idempotent && r.IdempotencyKey != "" }

// Result is the outcome of a forwarded request, with the response if there is one.
type Result struct {
	Outcome model.Outcome
	// Reason is empty for an answered request.
	Reason model.Reason
	// RetryAfter is the delay before a retry makes sense; 0 means unknown.
	RetryAfter time.Duration
	// Attempts counts all attempts, hedges and repeated queries of a gate included.
	Attempts int
	// Response is set for an answered request. Its body must be closed.
	Response *Response
}

// Response is a server's response with its body as a stream. A read error other
// than io.EOF means that the body is incomplete.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	Body   io.ReadCloser
	// Trailer is complete once the body has been read to its end.
	Trailer http.Header
}

// BufferBody reads the body into memory if its length is known and at most limit
// bytes; other bodies remain streams. It returns an error if reading fails.
func (r *Response) BufferBody(limit int64) error {
	if r.Length <= 0 || r.Length > limit || r.Body == http.NoBody {
		return nil
	}
	data := make([]byte, r.Length)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return err
	}
	r.Body = &bufferedBody{Reader: bytes.NewReader(data), Closer: r.Body}
	return nil
}

// bufferedBody reads from memory and closes the underlying body.
type bufferedBody struct {
	io.Reader
	io.Closer
}
