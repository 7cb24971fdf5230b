package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/responsematch"
)

const (
	// idleTimeoutIdempotent and idleTimeoutOther are how long an unused connection
	// stays open.
	idleTimeoutIdempotent = 30 * time.Second
	idleTimeoutOther      = 2 * time.Second
	// maxIdleConns and maxConns limit the connections of each of the two
	// transports. A server accepts about 130 in total.
	maxIdleConns = 16
	maxConns     = 60
	dialTimeout  = time.Second
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
)

// Reasons for which a writeGuard refuses a write.
var (
	errExpired   = eris.New("deadline passed before the first byte was written")
	errAbandoned = eris.New("request was abandoned before the first byte was written")
	errReplay    = eris.New("request was already written to another connection")
)

// errReset is the error of a read whose connection was reset during a write.
var errReset = eris.New("the server reset the connection while a request was written to it")

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
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxConnsPerHost:        maxConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// writeGuard tracks whether a request was written, and to which connection. The
// connection that writes its first byte owns it, and no other connection may write
// any of it. When a pooled connection turns out to be dead, http.Transport retries
// by itself on another one; the guard fails these retries unless nothing was
// written.
type writeGuard struct {
	// expired reports whether the deadline has passed.
	expired func() bool
	owner   atomic.Pointer[trackedConn]
}

// abandoned is the owner that marks requests which were abandoned before their first
// byte was written.
var abandoned = &trackedConn{}

// abandon forbids writing the first byte. It returns false if it was already
// written.
func (g *writeGuard) abandon() bool {
	return g.owner.CompareAndSwap(nil, abandoned) || g.owner.Load() == abandoned
}

// claim makes c the owner. It returns true if c was not the owner before. It fails if
// another connection is the owner, the request was abandoned or its deadline has
// passed.
func (g *writeGuard) claim(c *trackedConn) (bool, error) {
	switch g.owner.Load() {
	case c:
		return false, nil
	case abandoned:
		return false, errAbandoned
	}
	if g.expired() {
		return false, errExpired
	}
	if g.owner.CompareAndSwap(nil, c) {
		return true, nil
	}
	if g.owner.Load() == abandoned {
		return false, errAbandoned
	}
	return false, errReplay
}

// trackedConn is a connection with the guard of the request that it currently
// carries. The guard is nil before the first request.
type trackedConn struct {
	net.Conn
	guard   atomic.Pointer[writeGuard]
	carried responsematch.Connection
	// writing is held during a write. resetInWrite is true if a write failed because
	// the server reset the connection.
	writing      sync.Mutex
	resetInWrite bool
}

// Read implements net.Conn. The system reports a reset once: if a write receives the
// error, a read sees the end of the stream, which can be the end of a response without a
// length. Read then returns errReset.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.wasResetInWrite() {
		return n, errReset
	}
	return n, err
}

// wasResetInWrite ends a write that is in progress. The server sends nothing more, so
// the connection is of no further use.
func (c *trackedConn) wasResetInWrite() bool {
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.resetInWrite
}

// Write implements net.Conn. It fails if the guard of the current request refuses
// the claim.
func (c *trackedConn) Write(b []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return c.write(b)
	}
	first, err := g.claim(c)
	if err != nil {
		return 0, err
	}
	n, err := c.write(b)
	if first && n == 0 && err != nil {
		g.owner.CompareAndSwap(c, nil) // nothing was written, so a retry is safe
	}
	return n, err
}

func (c *trackedConn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) {
		c.resetInWrite = true
	}
	return n, err
}
