package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// relayBufferSize is the size, in bytes, of the buffer through which response
	// bodies are copied.
	relayBufferSize = 32 << 10
	// maxStoredAnswer is the maximum size, in bytes, of a body that is stored for
	// repeats.
	maxStoredAnswer = 64 << 10
)

var errCallerGone = eris.New("caller's node disconnected")

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferSize]byte) }}

// relay copies the server's response to the caller's node. If the response breaks
// off, the connection to the caller's node is aborted, so that a truncated body does
// not look complete.
func (s *Service) relay(ctx context.Context, c *call, response *http.Response) {
	hop.Strip(response.Header)
	stripHopByHopHeaders(response.Header)
	r := newAnswerRecorder(c, response)
	defer limitWriteTime(c.w, c.deadline.Sub(s.clock.Now()))()
	s.writeHeader(c, response)
	err := s.copyBody(ctx, c, response, r)
	if err != nil && !errors.Is(err, errCallerGone) {
		s.logCall(c, model.OutcomeUnknown, s.handleLost(ctx, c), response.StatusCode, 0)
		panic(http.ErrAbortHandler)
	}
	if err != nil && c.Idempotent {
		s.recordAbandoned(c)
		s.logCall(c, model.OutcomeUnknown, model.ReasonCancelled, response.StatusCode, 0)
		panic(http.ErrAbortHandler)
	}
	s.endAnswered(c, r.answer(response))
	s.logCall(c, model.OutcomeAnswered, "", response.StatusCode, 0)
	s.counters.countAnswered()
	if c.fingerprintCoversBody() && ranToEnd(response.StatusCode) {
		s.deps.suspects.Completed(c.fingerprint, c.started)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		c.w.Header()[http.TrailerPrefix+name] = values
	}
}

// writeGrace is how long after the deadline the caller's node may still read the
// rest of a response.
const writeGrace = 100 * time.Millisecond

// limitWriteTime sets a write deadline, so that a caller's node that does not read
// cannot hold a slot. The returned function removes it. Connection deadlines use
// system time. Writers that do not support deadlines are not limited.
func limitWriteTime(w http.ResponseWriter, left time.Duration) func() {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(left + writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

func (s *Service) writeHeader(c *call, response *http.Response) {
	header := c.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	s.setResponseHeaders(c, hop.Response{Outcome: model.OutcomeAnswered})
	c.w.WriteHeader(response.StatusCode)
}

// copyBody copies the body until its end. If the caller's node disconnects, the
// rest is still read for a request that is not idempotent, since a repeat will need
// the response.
func (s *Service) copyBody(ctx context.Context, c *call, response *http.Response, r *answerRecorder) error {
	pace := s.paceOf(ctx, c)
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	out := bodyWriter{w: c.w, flush: response.ContentLength < 0}
	var writeErr error
	for {
		n, readErr := response.Body.Read(buffer[:])
		r.add(buffer[:n])
		if writeErr == nil {
			pace(n)
		}
		if writeErr == nil && n > 0 && out.write(buffer[:n]) != nil {
			writeErr = errCallerGone
			if c.Idempotent {
				return writeErr
			}
		}
		if errors.Is(readErr, io.EOF) {
			return writeErr
		}
		if readErr != nil {
			return readErr
		}
	}
}

// paceOf returns the function that waits until the node's link has room for the next bytes
// of the response to a call.
func (s *Service) paceOf(ctx context.Context, c *call) func(bytes int) {
	if s.deps.uplink == nil || !s.deps.uplink.Leaves(c.r.RemoteAddr) {
		return func(int) {}
	}
	return func(bytes int) { s.deps.uplink.Pace(ctx, bytes, c.Priority, c.deadline) }
}

// bodyWriter writes a body and flushes after each write if its length is unknown.
type bodyWriter struct {
	w     http.ResponseWriter
	flush bool
}

func (b bodyWriter) write(p []byte) error {
	if _, err := b.w.Write(p); err != nil {
		return err
	}
	if b.flush {
		return http.NewResponseController(b.w).Flush()
	}
	return nil
}

// answerRecorder stores a response for repeats. A nil answerRecorder stores
// nothing.
type answerRecorder struct {
	body     bytes.Buffer
	tooLarge bool
}

func newAnswerRecorder(c *call, response *http.Response) *answerRecorder {
	if c.entry == nil {
		return nil
	}
	return &answerRecorder{tooLarge: response.ContentLength > maxStoredAnswer}
}

func (r *answerRecorder) add(p []byte) {
	if r == nil || r.tooLarge {
		return
	}
	if r.body.Len()+len(p) > maxStoredAnswer {
		r.tooLarge = true
		r.body = bytes.Buffer{}
		return
	}
	r.body.Write(p)
}

// answer returns the stored response, or nil if it was too large.
func (r *answerRecorder) answer(response *http.Response) *dedupe.Answer {
	if r == nil || r.tooLarge {
		return nil
	}
	return &dedupe.Answer{Status: response.StatusCode, Header: response.Header, Body: r.body.Bytes()}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func stripHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
