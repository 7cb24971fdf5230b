package backend

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/galenalever/galenalever/internal/decision/health"
)

// Error tells why a request has no answer.
type Error struct {
	begun bool
	cause error
}

// Error implements error.
func (e *Error) Error() string { return "request to the backend server: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// MayHaveRun reports whether a byte of the request was written, so that the
// server may have run it.
func (e *Error) MayHaveRun() bool { return e.begun }

// Do sends a request to the server and returns the answer's header; its body
// must be closed. No byte is written after notAfter, and none twice. The errors
// are of type *Error. The request's URL must hold path and query only.
func (s *Service) Do(r *http.Request, notAfter time.Time, idempotent bool) (*http.Response, error) {
	e := &exchange{expired: func() bool { return !s.clock.Now().Before(notAfter) }}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			c.current.Store(e)
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.URL.Scheme, r.URL.Host = s.base.Scheme, s.base.Host
	transport := s.other
	if idempotent {
		transport = s.idempotent
	}
	response, err := transport.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	begun := !e.seal()
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.loop.TryPost(checked{result: health.Refused})
	}
	return nil, &Error{begun: begun, cause: err}
}
