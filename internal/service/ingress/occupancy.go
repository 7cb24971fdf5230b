package ingress

import (
	"net/http"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
)

// chargeBody charges what call.ReadBody will keep of a request's body. The returned
// function releases what a body of unknown length has not used.
func chargeBody(r *http.Request) (func(*call.Body), error) {
	conn, charged := occupancy.Of(r.Context()), min(r.ContentLength, call.BufferLimit)
	if r.ContentLength < 0 {
		charged = call.BufferLimit + call.BufferLimit/8 // the buffer grows once
	}
	if err := conn.Charge(r.Context(), charged); err != nil {
		return nil, err
	}
	return func(body *call.Body) {
		switch {
		case body == nil:
			conn.Release(charged)
		case r.ContentLength < 0 && body.Streamed():
			conn.Release(charged - call.BufferLimit)
		case r.ContentLength < 0:
			conn.Release(charged - body.Length())
		}
	}, nil
}

const (
	// usualFields is the number of header fields that the charge of a connection covers.
	usualFields = 64
	// headerCopies is how many more times a request's header is kept on the way to the
	// server: by the caller's node and, if it is the same process, by the gate.
	headerCopies = 3
)

// chargeHeader charges the copies of a request's header that forwarding makes.
func chargeHeader(r *http.Request) error {
	fields := int64(len(r.Header))
	if fields <= usualFields {
		return nil
	}
	return occupancy.Of(r.Context()).Charge(r.Context(), fields*occupancy.FieldBytes*headerCopies)
}

// closeIfAhead asks the caller to close its connection after the response if it sends
// requests without waiting for responses. A caller that does not read could otherwise
// keep the node busy with one connection. The requests that follow are not run.
func closeIfAhead(h http.Header, conn *occupancy.Conn) {
	if conn.Ahead() {
		h.Set("Connection", "close")
	}
}

// headerTooLarge reports whether a header exceeds the limit of its route.
func headerTooLarge(r *http.Request, rt *model.Route) bool {
	if rt.MaxHeader <= 0 {
		return false
	}
	size := int64(len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n") + len("Host: \r\n") + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(": ") + len(value) + len("\r\n"))
		}
	}
	return size > rt.MaxHeader
}
