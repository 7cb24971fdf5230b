package occupancy

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/resources"
)

const (
	// FieldBytes is what a header field occupies beside its text, in bytes, in
	// http.Header (75 bytes were measured, garbage included).
	FieldBytes = 128
	// maxPipelined is the number of requests on a connection that may arrive together
	// with the one before.
	maxPipelined = 16
	// writePiece is the number of bytes after which a write counts as progress.
	writePiece = 16 << 10
)

// Conn is a connection that is charged to an account. A nil Conn charges nothing.
type Conn struct {
	net.Conn
	account *Account
	holder  *resources.Holder
	remove  func()
	// bodyEnded is true once the body of the current request has been read, ahead once
	// the client has sent many requests without waiting for the responses.
	bodyEnded, ahead atomic.Bool
	// pipelined counts the requests that arrived together with the one before. It is
	// used with the account's lock held.
	pipelined int
	// chunked is true while a chunked body is read, whose tail is charged. Both are used
	// with the account's lock held.
	chunked bool
	tail    tail
	// full is true once a read has failed because there was no room for its charge.
	full atomic.Bool
}

type contextKey struct{}

// Of returns the connection of the request with this context, or nil.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Charge charges bytes for the current request, which are released when it ends. It
// waits for room for a short time.
func (c *Conn) Charge(ctx context.Context, n int64) error {
	if c == nil || n <= 0 {
		return nil
	}
	a := c.account
	ctx, cancel := clock.WithTimeout(ctx, a.clock, chargeTimeout)
	defer cancel()
	err := a.demand(ctx, nil, func(now time.Duration) (resources.Decision, error) {
		if _, ok := a.conns[c.holder]; !ok {
			return resources.Decision{}, errClosed
		}
		return a.account.Charge(c.holder, n, now), nil
	})
	if errors.Is(err, ErrFull) {
		a.mu.Lock()
		a.stats.Refused++
		a.mu.Unlock()
	}
	return err
}

// TryCharge is Charge for bytes that the request can do without. It does not wait and closes
// no other connection. It reports whether the bytes were charged.
func (c *Conn) TryCharge(n int64) bool {
	if c == nil {
		return true
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	_, open := a.conns[c.holder]
	return open && a.waiting == 0 && a.account.ChargeUnused(c.holder, n)
}

// Release takes back bytes that were charged for the current request.
func (c *Conn) Release(n int64) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.account.Release(c.holder, n)
	c.account.notify()
}

// Ahead reports whether the client sends requests without waiting for responses.
func (c *Conn) Ahead() bool { return c != nil && c.ahead.Load() }

// Read implements net.Conn. What belongs to a header or may belong to a trailer is charged
// before it is parsed.
func (c *Conn) Read(p []byte) (int, error) {
	c.withAccount((*resources.Account).BeginRead)
	n, err := c.Conn.Read(p)
	switch change := c.endRead(p[:n]); {
	case change < 0:
		c.Release(-change)
	case change > 0:
		if err := c.Charge(context.Background(), change); err != nil {
			c.full.Store(true)
			return 0, err
		}
	}
	return n, err
}

// endRead records the end of a read and returns by how much the charge is to change.
func (c *Conn) endRead(p []byte) int64 {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.account.EndRead(c.holder, len(p), now)
	if len(p) == 0 {
		return 0
	}
	switch c.holder.Phase() {
	case resources.Opened, resources.Idle:
		a.account.SetPhase(c.holder, resources.Head, now)
		return headCharge(p)
	case resources.Head:
		return headCharge(p)
	}
	if c.bodyEnded.Load() && c.holder.Phase() == resources.Running {
		c.ahead.Store(true) // the response has not begun
	}
	if c.chunked {
		return c.tail.add(p)
	}
	return 0
}

// headCharge returns what a part of a header occupies, in bytes.
func headCharge(p []byte) int64 {
	return int64(len(p) + bytes.Count(p, newline)*FieldBytes)
}

var newline = []byte{'\n'}

// beginBody records whether the body of a request that begins is chunked.
func (c *Conn) beginBody(chunked bool) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.chunked, c.tail = chunked, tail{}
}

// endBody records that a body has been read, and reduces the charge of its tail to that
// of its trailer.
func (c *Conn) endBody(trailer http.Header) {
	c.bodyEnded.Store(true)
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.chunked {
		c.chunked = false
		c.account.account.Release(c.holder, -c.tail.end(trailer))
		c.account.notify()
	}
	c.account.account.SetPhase(c.holder, resources.Running, c.account.now())
}

// Write implements net.Conn. The client is awaited while a write is blocked.
func (c *Conn) Write(p []byte) (int, error) {
	var written int
	for {
		piece := p[written:min(written+writePiece, len(p))]
		c.beginWrite()
		n, err := c.Conn.Write(piece)
		c.endWrite(n)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// beginWrite also records that the client of a running request gets its response.
func (c *Conn) beginWrite() {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if c.holder.Phase() == resources.Running {
		a.account.SetPhase(c.holder, resources.Response, now)
	}
	a.account.BeginWrite(c.holder, now)
}

func (c *Conn) endWrite(n int) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.account.EndWrite(c.holder, n, c.account.now())
}

func (c *Conn) withAccount(f func(a *resources.Account, h *resources.Holder, now time.Duration)) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	f(c.account.account, c.holder, c.account.now())
}

// beginRequest records that a request's header has been read, and whether a body follows.
func (c *Conn) beginRequest(hasBody bool) {
	c.bodyEnded.Store(!hasBody)
	phase := resources.Running
	if hasBody {
		phase = resources.Body
	}
	c.withAccount(func(a *resources.Account, h *resources.Holder, now time.Duration) {
		if h.Phase() == resources.Idle { // nothing was read since the last request
			if c.pipelined++; c.pipelined > maxPipelined {
				c.ahead.Store(true)
			}
		}
		a.SetPhase(h, phase, now)
	})
}

// endRequest releases what the current request occupies.
func (c *Conn) endRequest() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.bodyEnded.Store(false)
	c.account.account.EndRequest(c.holder, c.account.now())
	c.account.notify()
}

// Close implements net.Conn. The server calls it once the request has ended.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.remove()
	return err
}

// CloseWrite lets http.Server end a connection without losing the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// abort closes the connection at once, also for the system. The request in progress
// fails, and the server calls Close.
func (c *Conn) abort() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // unread responses need not be kept
	}
	_ = c.Conn.Close()
}

func newConn(conn net.Conn, a *Account, h *resources.Holder) *Conn {
	c := &Conn{Conn: conn, account: a, holder: h}
	c.remove = sync.OnceFunc(func() { a.remove(c) })
	return c
}
