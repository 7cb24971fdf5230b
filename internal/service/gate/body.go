package gate

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// heldBody is the size in bytes up to which a body is read before its call
	// asks for a slot.
	heldBody = 512 << 10
	// heldBodies bounds the bytes of all bodies that are held at a time.
	heldBodies = 16 << 20
)

// holdBody reads the body before the call waits for a slot: a body that crosses
// a slow link would hold the slot meanwhile, and the server of net/http notices
// that a caller's node has gone only once it has read the body. A body for which
// there is no room stays at the caller's node, if that holds it back, and so does
// that of a call that would be refused. The function must be called when the call
// has ended.
func (s *Service) holdBody(c *call) (*refusal, func()) {
	length := c.r.ContentLength
	if length <= 0 || length > heldBody {
		return nil, func() {}
	}
	if c.awaitsContinue() {
		if r := s.wouldRefuse(c); r != nil {
			return r, func() {}
		}
	}
	release := func() { s.heldBytes.Add(-length) }
	if s.heldBytes.Add(length) > heldBodies {
		return nil, release
	}
	controller := http.NewResponseController(c.w)
	// The connection's deadline is in system time; a writer without deadlines
	// is a test's, whose body is at hand.
	_ = controller.SetReadDeadline(time.Now().Add(c.Timeout))
	data := make([]byte, length)
	_, err := io.ReadFull(c.r.Body, data)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return notRun(model.ReasonCancelled), release
	}
	c.r.Body = io.NopCloser(bytes.NewReader(data))
	return nil, release
}

// wouldRefuse returns the refusal that the call would get if it asked for a slot
// now, nil if it would run or wait.
func (s *Service) wouldRefuse(c *call) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.memory.Remembers(c.keys, now) {
		return nil // a repeat is answered from what is known of the first request
	}
	d, refused := s.admission.Refusal(c.slotRequest(), now)
	if !refused {
		return nil
	}
	r := notRun(d.Reason)
	r.retryAfter = d.RetryAfter
	return r
}

func (c *call) awaitsContinue() bool {
	return strings.EqualFold(c.r.Header.Get("Expect"), "100-continue")
}

// askForBody has the caller's node send a body that it holds back. It reports
// false if the body does not come, so that the request need not reach the
// server.
func (c *call) askForBody() bool {
	if c.r.ContentLength == 0 || !c.awaitsContinue() {
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
