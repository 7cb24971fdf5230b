package gate

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
)

const (
	// maxBufferedBody is the maximum size, in bytes, of a body that is read before
	// its call requests a slot.
	maxBufferedBody = 512 << 10
	// maxBufferedBodies is the maximum total size, in bytes, of the bodies buffered
	// at a time.
	maxBufferedBodies = 16 << 20
)

// bufferBody reads the body before the call waits for a slot. Otherwise a body on a
// slow link would hold the slot while it arrives, and the net/http server detects
// that a caller's node has disconnected only once it has read the body. A body that
// exceeds the limits is left unread. If the caller's node expects "100 Continue", it
// keeps such a body, and also the body of a call that would be refused or that has to wait
// for the link. The returned function releases the buffer space and must be called when the call ends.
func (s *Service) bufferBody(c *call) (*refusal, func()) {
	length := c.r.ContentLength
	if length <= 0 || length > maxBufferedBody {
		return nil, func() {}
	}
	if c.expectsContinue() {
		if r := s.expectedRefusal(c); r != nil {
			return r, func() {}
		}
		endTransfer, r := s.beginTransfer(c)
		if r != nil {
			return r, func() {}
		}
		defer endTransfer()
	}
	release := func() { s.bufferedBytes.Add(-length) }
	conn := occupancy.Of(c.r.Context())
	if s.bufferedBytes.Add(length) > maxBufferedBodies && conn == nil {
		return nil, release // an account has a limit of its own
	}
	if err := conn.Charge(c.r.Context(), length); err != nil {
		return notRun(model.ReasonQueueFull), release
	}
	controller := http.NewResponseController(c.w)
	// Connection deadlines use system time. Writers that do not support deadlines
	// occur only in tests, whose bodies are already in memory.
	_ = controller.SetReadDeadline(time.Now().Add(c.Timeout))
	data := make([]byte, length)
	_, err := io.ReadFull(c.r.Body, data)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return notRun(s.reasonOfMissingBody(c)), release
	}
	c.r.Body = io.NopCloser(bytes.NewReader(data))
	return nil, release
}

// reasonOfMissingBody returns the reason of a call whose body did not arrive: its time
// has passed, or its caller's node has disconnected.
func (s *Service) reasonOfMissingBody(c *call) model.Reason {
	if !s.clock.Now().Before(c.deadline) {
		return model.ReasonLate
	}
	return model.ReasonCancelled
}

// expectedRefusal returns the refusal that the call would get if it requested a
// slot now, or nil if it would run or wait.
func (s *Service) expectedRefusal(c *call) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.memory.Remembers(c.keys, now) {
		return nil // a repeat gets the outcome of the first request
	}
	d, refused := s.admission.Refusal(c.slotRequest(), now)
	if !refused {
		return nil
	}
	if d.Displaced {
		s.admission.RecordDisplaced(c.slotRequest(), now)
		s.countDisplaced(c, d)
	}
	r := notRun(d.Reason)
	r.retryAfter = d.RetryAfter
	return r
}

// leaveBodyToServer prevents http.Server from reading the rest of the body itself before it
// writes the response's header: the backend server may respond early and still receive the
// body. The writer supports it unless it is that of a test.
func (c *call) leaveBodyToServer() {
	if c.r.ContentLength != 0 {
		_ = http.NewResponseController(c.w).EnableFullDuplex()
	}
}

func (c *call) expectsContinue() bool {
	return strings.EqualFold(c.r.Header.Get("Expect"), "100-continue")
}

// sendContinue starts reading a body that the caller's node withholds until "100
// Continue"; the first read makes net/http send that response. It reports false if
// the body does not arrive, so that the request need not be sent to the server.
func (c *call) sendContinue() bool {
	if c.r.ContentLength == 0 || !c.expectsContinue() {
		return true
	}
	reader := bufio.NewReaderSize(c.r.Body, 1<<10)
	if _, err := reader.Peek(1); err != nil && err != io.EOF {
		return false
	}
	c.r.Body = struct {
		io.Reader
		io.Closer
	}{reader, c.r.Body}
	return true
}
