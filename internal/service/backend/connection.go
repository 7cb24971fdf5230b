package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// idleIdempotent and idleOther are the times after which an unused
	// connection is closed.
	idleIdempotent = 30 * time.Second
	idleOther      = 2 * time.Second
	// maxIdle and maxConnections bound the connections of one transport. A
	// server takes about 130.
	maxIdle        = 16
	maxConnections = 60
	dialTimeout    = time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// The errors by which a connection refuses to write.
var (
	errExpired = eris.New("deadline passed before the first byte")
	errSealed  = eris.New("request was given up before the first byte")
	errReplay  = eris.New("request was already written to another connection")
)

func newTransport(idle time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    maxIdle,
		MaxConnsPerHost:        maxConnections,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// exchange accounts for one request. The connection that writes its first byte
// owns it, and no other connection may write a byte of it. So the transport's
// own replays, which it makes when a pooled connection turns out dead, fail
// unless nothing was written.
type exchange struct {
	// expired reports whether the deadline has passed.
	expired func() bool
	owner   atomic.Pointer[trackedConn]
}

// sealed owns the exchanges that were given up before the first byte.
var sealed = &trackedConn{}

// seal forbids the first byte and reports whether it had not been written.
func (e *exchange) seal() bool {
	return e.owner.CompareAndSwap(nil, sealed) || e.owner.Load() == sealed
}

// claim makes c the owner. It reports whether c was not the owner before.
func (e *exchange) claim(c *trackedConn) (bool, error) {
	switch e.owner.Load() {
	case c:
		return false, nil
	case sealed:
		return false, errSealed
	}
	if e.expired() {
		return false, errExpired
	}
	if e.owner.CompareAndSwap(nil, c) {
		return true, nil
	}
	if e.owner.Load() == sealed {
		return false, errSealed
	}
	return false, errReplay
}

// trackedConn is a connection that knows which request it carries.
type trackedConn struct {
	net.Conn
	current atomic.Pointer[exchange]
}

// Write implements net.Conn. It writes the first byte of a request only if the
// request is still wanted.
func (c *trackedConn) Write(b []byte) (int, error) {
	e := c.current.Load()
	if e == nil {
		return c.Conn.Write(b)
	}
	first, err := e.claim(c)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		e.owner.CompareAndSwap(c, nil)
	}
	return n, err
}
