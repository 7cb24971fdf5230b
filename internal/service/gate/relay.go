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
	// relayBuffer is the size in bytes of the pieces in which an answer is
	// passed on.
	relayBuffer = 32 << 10
	// maxStoredAnswer bounds the body of an answer that is kept for repeats.
	maxStoredAnswer = 64 << 10
)

var errCallerGone = eris.New("caller's node went away")

var buffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// relay passes the server's answer on. If the server dies in mid-answer the
// connection to the caller's node is aborted, so that a part is never taken for
// the whole.
func (s *Service) relay(ctx context.Context, c *call, response *http.Response) {
	hop.Strip(response.Header)
	stripConnectionHeaders(response.Header)
	r := recordingFor(c, response)
	defer limitWriting(c.w, c.deadline.Sub(s.clock.Now()))()
	s.writeHeader(c, response)
	err := s.copyBody(c, response, r)
	if err != nil && !errors.Is(err, errCallerGone) {
		s.logCall(c, model.OutcomeUnknown, s.lost(ctx, c), response.StatusCode, 0)
		panic(http.ErrAbortHandler)
	}
	if err != nil && c.Idempotent {
		s.giveUp(c)
		s.logCall(c, model.OutcomeUnknown, model.ReasonCancelled, response.StatusCode, 0)
		panic(http.ErrAbortHandler)
	}
	s.endAnswered(c, r.answer(response))
	s.logCall(c, model.OutcomeAnswered, "", response.StatusCode, 0)
	s.counters.countAnswered()
	if c.exclusive() && c.identified() {
		s.partners.suspects.RanAlone(c.suspicion)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		c.w.Header()[http.TrailerPrefix+name] = values
	}
}

// writeGrace is how long after the deadline the caller's node may read the end
// of an answer.
const writeGrace = 100 * time.Millisecond

// limitWriting bounds the time for which a caller's node that does not read holds
// a slot. The returned function lifts the bound. The connection's deadline is in
// system time. A writer without deadlines is left alone.
func limitWriting(w http.ResponseWriter, left time.Duration) func() {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(left + writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

func (s *Service) writeHeader(c *call, response *http.Response) {
	header := c.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	s.stamp(c, hop.Response{Outcome: model.OutcomeAnswered})
	c.w.WriteHeader(response.StatusCode)
}

// copyBody passes the body on until its end. When the caller's node goes away
// the rest is still read for a request that is not idempotent, since a repeat
// will ask for the answer.
func (s *Service) copyBody(c *call, response *http.Response, r *recording) error {
	buffer := buffers.Get().(*[relayBuffer]byte)
	defer buffers.Put(buffer)
	out := bodyWriter{w: c.w, flush: response.ContentLength < 0}
	var gone error
	for {
		n, readErr := response.Body.Read(buffer[:])
		r.add(buffer[:n])
		if gone == nil && n > 0 && out.write(buffer[:n]) != nil {
			gone = errCallerGone
			if c.Idempotent {
				return gone
			}
		}
		if errors.Is(readErr, io.EOF) {
			return gone
		}
		if readErr != nil {
			return readErr
		}
	}
}

// bodyWriter writes pieces of a body, each at once if its length is unknown.
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

// recording collects an answer for repeats. A nil recording collects nothing.
type recording struct {
	body     bytes.Buffer
	tooLarge bool
}

func recordingFor(c *call, response *http.Response) *recording {
	if c.entry == nil {
		return nil
	}
	return &recording{tooLarge: response.ContentLength > maxStoredAnswer}
}

func (r *recording) add(p []byte) {
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

// answer returns the collected answer, or nil if it was too large.
func (r *recording) answer(response *http.Response) *dedupe.Answer {
	if r == nil || r.tooLarge {
		return nil
	}
	return &dedupe.Answer{Status: response.StatusCode, Header: response.Header, Body: r.body.Bytes()}
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func stripConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
