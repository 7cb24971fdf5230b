package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// copyBufferSize is the size in bytes of the buffers for copying response bodies.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeResponse sends a server's response to the caller. If reading or writing the
// body fails, it aborts the connection, so that the caller sees that the response is
// incomplete.
func (s *Service) writeResponse(ctx context.Context, w http.ResponseWriter, entry requestLog, result *call.Result) {
	response := result.Response
	defer response.Body.Close()
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(hop.HeaderOutcome, model.OutcomeAnswered.String())
	s.closeIfLeaving(h)
	closeIfAhead(h, entry.conn)
	w.WriteHeader(response.Status)
	if err := copyBody(w, response, s.paceOf(ctx, entry)); err != nil {
		s.recordRequest(entry, response.Status, model.OutcomeUnknown, model.ReasonConnectionLost)
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	s.recordRequest(entry, response.Status, model.OutcomeAnswered, "")
}

// paceOf returns the function that waits until the node's link has room for the next bytes
// of a response.
func (s *Service) paceOf(ctx context.Context, entry requestLog) func(bytes int) {
	if s.uplink == nil || !s.uplink.Leaves(entry.remoteAddr) {
		return func(int) {}
	}
	return func(bytes int) { s.uplink.Pace(ctx, bytes, entry.match.Route.Priority, entry.deadline) }
}

// copyBody copies the body to the caller. It flushes after every read if the length
// is unknown, since the server may pause between writes.
func copyBody(w http.ResponseWriter, response *call.Response, pace func(bytes int)) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	if response.Length >= 0 {
		flusher = nil
	}
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 {
			pace(n)
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if flusher != nil {
				flusher.Flush()
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
