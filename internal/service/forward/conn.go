package forward

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// countedConn counts the writes that were begun on a connection. After Close no
// further write begins, so that the count is final.
type countedConn struct {
	net.Conn
	begun  atomic.Int64
	closed atomic.Bool
}

// Write implements net.Conn. The order of the two accesses matters: either
// Close is seen here, or the write is seen by whoever closed.
func (c *countedConn) Write(p []byte) (int, error) {
	c.begun.Add(1)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// writeObserver learns from the transport's trace on which connection an
// attempt travels and whether a byte of it may have been written.
type writeObserver struct {
	conn   *countedConn
	before int64
	wrote  bool
}

// trace returns the hooks of one attempt. The transport calls GotConn before it
// writes, in the goroutine of RoundTrip, and once more if it replays.
func (o *writeObserver) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		o.wrote = o.wrote || o.wroteOnConn()
		o.conn, _ = info.Conn.(*countedConn)
		if o.conn != nil {
			o.before = o.conn.begun.Load()
		}
	}}
}

func (o *writeObserver) wroteOnConn() bool {
	return o.conn != nil && o.conn.begun.Load() != o.before
}

// giveUp closes the connection of a failed attempt and reports whether a byte
// of the request may have been written.
func (o *writeObserver) giveUp() bool {
	if o.conn != nil {
		_ = o.conn.Close()
	}
	return o.wrote || o.wroteOnConn()
}
