package ingress

import (
	"io"
	"net/http"
	"sync"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// copyBufferSize is the size in bytes of the buffers that carry answers.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// pass hands a server's answer to the caller. If the answer breaks on the way,
// the connection is aborted, so that the caller cannot take it for whole.
func (s *Service) pass(w http.ResponseWriter, entry requestLog, a *call.Result) {
	response := a.Response
	defer response.Body.Close()
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(hop.HeaderOutcome, model.OutcomeAnswered.String())
	s.closeAfter(h)
	w.WriteHeader(response.Status)
	if err := copyBody(w, response); err != nil {
		s.finish(entry, response.Status, model.OutcomeUnknown, model.ReasonConnectionLost)
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	s.finish(entry, response.Status, model.OutcomeAnswered, "")
}

// copyBody streams the body. Pieces of an answer without a length go out at
// once, since the server may pause between them.
func copyBody(w http.ResponseWriter, response *call.Response) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	if response.Length >= 0 {
		flusher = nil
	}
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 {
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
