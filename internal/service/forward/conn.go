package forward

import (
	"net"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/hop"
)

// writeCountingConn counts the bytes written to a connection. A write that begins after
// Close sends no data, and Close ends a write in progress, so a count that is unchanged
// after both proves that nothing was written.
type writeCountingConn struct {
	net.Conn
	closed atomic.Bool
	// writing is held during a write; written is the number of bytes that the system
	// has accepted.
	writing sync.Mutex
	written int64
}

// Write implements net.Conn. A write that fails without sending any byte, as on a
// connection that was reset before, is not counted.
func (c *writeCountingConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Close implements net.Conn.
func (c *writeCountingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// bytesWritten returns the number of bytes written so far, after a write in progress.
func (c *writeCountingConn) bytesWritten() int64 {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.written
}

// maxInterimResponses is the largest number of interim responses (1xx) to one attempt. A gate
// sends two at most. With a trace hook for them, net/http has no limit of its own.
const maxInterimResponses = 5

var errInterimResponses = eris.New("too many interim responses")

// writeObserver determines from the transport's trace which connection an attempt
// uses and whether a byte of the request may have been written.
type writeObserver struct {
	conn          *writeCountingConn
	writtenBefore int64
	wrote         bool
	// body is the body that the gate must request before it runs the request; nil if
	// the body is sent with the head or empty.
	body *withheldBody
	// onLost is called when the gate announces that the server of the attempt is lost; nil
	// if that does not matter.
	onLost func()
}

// trace returns the trace hooks of one attempt. The transport calls GotConn in the
// goroutine of RoundTrip before it writes, and again if it repeats the request.
func (o *writeObserver) trace() *httptrace.ClientTrace {
	gotConn := func(info httptrace.GotConnInfo) {
		o.wrote = o.wrote || o.wroteOnConn()
		o.conn, _ = info.Conn.(*writeCountingConn)
		if o.conn != nil {
			o.writtenBefore = o.conn.bytesWritten()
		}
	}
	interim := 0
	got1xx := func(code int, _ textproto.MIMEHeader) error {
		if interim++; interim > maxInterimResponses {
			return errInterimResponses
		}
		if code == hop.StatusServerLost && o.onLost != nil {
			o.onLost()
		}
		return nil
	}
	return &httptrace.ClientTrace{GotConn: gotConn, Got1xxResponse: got1xx}
}

func (o *writeObserver) wroteOnConn() bool {
	return o.conn != nil && o.conn.bytesWritten() != o.writtenBefore
}

// abort closes the connection of a failed attempt and reports whether the gate may have
// received enough of the request to run it: any byte, or any byte of a withheld body.
func (o *writeObserver) abort() bool {
	if o.conn != nil {
		_ = o.conn.Close()
	}
	if o.body != nil && o.body.detach() {
		return false
	}
	return o.wrote || o.wroteOnConn()
}
