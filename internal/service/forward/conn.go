package forward

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// writeCountingConn counts the writes begun on a connection. A write that begins after
// Close sends no data, so a count that is unchanged after Close proves that nothing was
// written.
type writeCountingConn struct {
	net.Conn
	writesBegun atomic.Int64
	closed      atomic.Bool
}

// Write implements net.Conn. It counts the write before it checks whether the connection
// is closed: either the check finds it closed, or the count read after Close includes
// the write.
func (c *writeCountingConn) Write(p []byte) (int, error) {
	c.writesBegun.Add(1)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *writeCountingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// writeObserver determines from the transport's trace which connection an attempt
// uses and whether a byte of the request may have been written.
type writeObserver struct {
	conn         *writeCountingConn
	writesBefore int64
	wrote        bool
}

// trace returns the trace hooks of one attempt. The transport calls GotConn in the
// goroutine of RoundTrip before it writes, and again if it repeats the request.
func (o *writeObserver) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		o.wrote = o.wrote || o.wroteOnConn()
		o.conn, _ = info.Conn.(*writeCountingConn)
		if o.conn != nil {
			o.writesBefore = o.conn.writesBegun.Load()
		}
	}}
}

func (o *writeObserver) wroteOnConn() bool {
	return o.conn != nil && o.conn.writesBegun.Load() != o.writesBefore
}

// abort closes the connection of a failed attempt and reports whether a byte of the
// request may have been written.
func (o *writeObserver) abort() bool {
	if o.conn != nil {
		_ = o.conn.Close()
	}
	return o.wrote || o.wroteOnConn()
}
