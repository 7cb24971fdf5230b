package occupancy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/decision/resources"
)

// drainTimeout is how long the rest of a body is awaited that a handler has not read.
// The response may be lost if the connection is closed while the client still sends.
const drainTimeout = 500 * time.Millisecond

// Guard charges the connections that a server accepts to the account. It wraps the
// server's handler, listener and hooks, and must be called before the server serves.
func (a *Account) Guard(server *http.Server, inner net.Listener) net.Listener {
	if a == nil {
		return inner
	}
	track, handler := server.ConnState, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			conn.(*Conn).beginRequest(false) // the handler knows whether a body follows
		case http.StateIdle:
			conn.(*Conn).endRequest()
		}
		if track != nil {
			track(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(handler, w, r, Of(r.Context()))
	})
	return &listener{Listener: inner, account: a, closed: make(chan struct{})}
}

// serve runs a handler and records when its request has been read.
func serve(handler http.Handler, w http.ResponseWriter, r *http.Request, c *Conn) {
	c.beginRequest(r.ContentLength != 0)
	c.beginBody(r.ContentLength < 0)
	if c.Ahead() || !c.account.keep() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 {
		handler.ServeHTTP(w, r)
		return
	}
	b := &body{ReadCloser: r.Body, conn: c, request: r}
	defer func() {
		if !c.bodyEnded.Load() {
			// Writers without deadlines occur only in tests.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
		}
	}()
	copied := *r // http.Server needs its own body
	copied.Body = b
	handler.ServeHTTP(w, &copied)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *Conn
	// request is that of the server, which gets the trailer.
	request *http.Request
}

// Read implements io.Reader. The error is ErrFull if there was no room for the trailer,
// since http.Server replaces errors in reading it.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case b.conn.full.Load():
		return n, ErrFull
	case errors.Is(err, io.EOF):
		b.conn.endBody(b.request.Trailer)
	}
	return n, err
}

// readFactor is what a byte of a body occupies that a handler reads whole: the growing
// buffer, its copy and the message decoded from it.
const readFactor = 3

// ChargeBodies returns a handler that charges the bodies of requests as they are read,
// for handlers that keep them in memory.
func ChargeBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		if c == nil || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		copied := *r
		copied.Body = &chargedBody{ReadCloser: r.Body, ctx: r.Context(), conn: c}
		next.ServeHTTP(w, &copied)
	})
}

// CloseAfterErrors returns a handler that closes a connection after a response with a
// status of 400 to 499. Nodes make such requests by mistake only, so that the connections of
// other clients do not stay idle.
func CloseAfterErrors(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(closingWriter{w}, r)
	})
}

type closingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w closingWriter) WriteHeader(status int) {
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the writer of the server.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type chargedBody struct {
	io.ReadCloser
	ctx  context.Context
	conn *Conn
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if chargeErr := b.conn.Charge(b.ctx, int64(n)*readFactor); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

// listener accepts a connection only when the account has room for it. The others wait
// in the queue of the system.
type listener struct {
	net.Listener
	account *Account
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	a := l.account
	var accepted *Conn
	err = a.demand(context.Background(), l.closed, func(now time.Duration) (resources.Decision, error) {
		h, d := a.account.Open(now)
		if d.Granted {
			accepted = newConn(conn, a, h)
			a.conns[h] = accepted
		}
		return d, nil
	})
	if err != nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return accepted, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
