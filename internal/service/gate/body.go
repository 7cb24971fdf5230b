package gate

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"time"

	calls "github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/model"
)

// holdBody reads a small body before the call waits for a slot: the server of
// net/http notices that a caller's node has gone only once it has read the body.
// A larger one, and one that the caller's node holds back until it is asked for,
// stays there.
func (c *call) holdBody() *refusal {
	if c.r.ContentLength <= 0 || c.r.ContentLength > calls.BufferLimit || c.awaitsContinue() {
		return nil
	}
	controller := http.NewResponseController(c.w)
	// The connection's deadline is in system time; a writer without deadlines
	// is a test's, whose body is at hand.
	_ = controller.SetReadDeadline(time.Now().Add(c.Timeout))
	body, err := calls.ReadBody(c.r.Body, c.r.ContentLength)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return notRun(model.ReasonCancelled)
	}
	c.r.Body = body.Open()
	return nil
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
