package backend

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/health"
	"github.com/galenalever/galenalever/internal/decision/responsematch"
)

// Error is the error of a request that got no response.
type Error struct {
	written bool
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return "request to the backend server: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// MayHaveRun reports whether any byte of the request was written, so that the
// server may have executed it.
func (e *Error) MayHaveRun() bool { return e.written }

// errForeignResponse is the cause of an Error if the response was not accepted as the one
// to the request.
var errForeignResponse = eris.New("the response belongs to another request or is incomplete")

// ForeignResponse reports whether the server sent a response that was not accepted as the
// one to this request.
func (e *Error) ForeignResponse() bool { return errors.Is(e.cause, errForeignResponse) }

// Do sends a request to the server and returns the response, whose body the caller
// must close. Writing does not begin after notAfter, and the request is not written
// twice. An idempotent request may use a connection that was idle for longer. accept
// reports whether the head is that of the response to the request, given what its connection carried
// before; if not, the connection is closed. Errors are of type *Error. The URL of r must
// contain only path and query.
func (s *Service) Do(
	r *http.Request, notAfter time.Time, idempotent bool, accept func(responsematch.Exchange, *http.Response) bool,
) (*http.Response, error) {
	guard := &writeGuard{expired: func() bool { return !s.clock.Now().Before(notAfter) }}
	var connection *trackedConn
	var exchange responsematch.Exchange
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection = info.Conn.(*trackedConn) // the transports dial no other
		connection.guard.Store(guard)
		exchange = connection.carried.Begin()
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.URL.Scheme, r.URL.Host = s.base.Scheme, s.base.Host
	transport := s.other
	if idempotent {
		transport = s.idempotent
	}
	response, err := transport.RoundTrip(r)
	if err == nil {
		if accept(exchange, response) {
			return response, nil
		}
		// What follows on the connection belongs to no known request.
		_ = connection.Close()
		_ = response.Body.Close()
		err = errForeignResponse
	}
	written := !guard.abandon() // the transport may still be about to write
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.loop.TryPost(checked{result: health.Refused})
	}
	return nil, &Error{written: written, cause: err}
}
