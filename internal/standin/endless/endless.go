// Package endless provides a faulty server that responds with bytes that do not end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Form is what the server sends for a request.
type Form struct {
	Name string
	// Head is sent once. In it, the text ID stands for what Config.ID returns.
	Head string
	// Piece is sent again and again until the connection is closed.
	Piece string
	// AfterResponse is true if Head is a whole response, so that the pieces follow on a
	// connection that the client takes for unused.
	AfterResponse bool
}

// Heads returns the forms that never end their header.
func Heads() []Form {
	const ok = "HTTP/1.1 200 OK\r\n"
	return []Form{
		{Name: "no HTTP", Piece: "\x00\xff\x16\x03"},
		{Name: "status line", Head: "HTTP/1.1 200 ", Piece: "OK "},
		{Name: "header line", Head: ok + "X-Long: ", Piece: "a"},
		{Name: "header lines", Head: ok, Piece: "X-A: b\r\n"},
		{Name: "continuation lines", Head: ok + "X-A: b\r\n", Piece: " c\r\n"},
		{Name: "interim responses", Piece: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		{Name: "100 Continue", Piece: "HTTP/1.1 100 Continue\r\n\r\n"},
	}
}

// Bodies returns the forms whose header ends, but not what follows it. fields are header
// lines that each response needs, with their line ends.
func Bodies(fields string) []Form {
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return []Form{
		{Name: "body without length", Head: head + "Connection: close\r\n\r\n", Piece: "a"},
		{Name: "body of great length", Head: head + "Content-Length: 1000000000000\r\n\r\n", Piece: "a"},
		{Name: "chunks", Head: chunked, Piece: "400\r\n" + strings.Repeat("a", 0x400) + "\r\n"},
		{Name: "chunk size", Head: chunked, Piece: "0"},
		{Name: "chunk extension", Head: chunked + "4;", Piece: "x"},
		{Name: "chunk extensions", Head: chunked, Piece: "1;" + strings.Repeat("x", 4000) + "\r\na\r\n"},
		{Name: "trailer line", Head: chunked + "0\r\nX-Long: ", Piece: "a"},
		{Name: "trailer lines", Head: chunked + "0\r\n", Piece: "X-A: b\r\n"},
		{Name: "bytes after a response", Head: head + "Content-Length: 2\r\n\r\nok", Piece: "a", AfterResponse: true},
		{Name: "responses after a response", Head: head + "Content-Length: 2\r\n\r\nok", Piece: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", AfterResponse: true},
	}
}

// Config configures a server.
type Config struct {
	// Form returns what is sent for a request, or nil if Sound responds.
	Form func(*http.Request) *Form
	// ID returns the text that replaces ID in Form.Head; nil replaces nothing.
	ID func(*http.Request) string
	// Sound responds to the requests for which Form returns nil; nil means status 200.
	// Their connections are closed.
	Sound http.Handler
}

// Server is a faulty server. It is safe for concurrent use.
type Server struct {
	config   Config
	listener net.Listener
	written  atomic.Int64

	mu      sync.Mutex
	sending int // connections
	changed *sync.Cond
}

// New starts a server on a listener, which Close closes.
func New(listener net.Listener, c Config) *Server {
	s := &Server{config: c, listener: listener}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// Written returns the number of bytes that the server has sent of pieces.
func (s *Server) Written() int64 { return s.written.Load() }

// Wait waits until the clients have closed all connections on which the server sends.
func (s *Server) Wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.sending > 0 {
		s.changed.Wait()
	}
}

// addSending changes the number of connections on which the server sends.
func (s *Server) addSending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending += n
	s.changed.Broadcast()
}

// Close stops accepting connections. Those that are open end when their clients close
// them.
func (s *Server) Close() { _ = s.listener.Close() }

const (
	writeBytes = 16 << 10
	// sendBufferBytes limits what the server has sent and no client has read.
	sendBufferBytes = 64 << 10
)

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // without it, Written counts more
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a client that has changed its mind
	}
	s.addSending(1)
	defer s.addSending(-1)
	form := s.config.Form(request)
	if form == nil {
		s.respond(conn, request)
		return
	}
	head := form.Head
	if s.config.ID != nil {
		head = strings.ReplaceAll(head, "ID", s.config.ID(request))
	}
	pieces := []byte(strings.Repeat(form.Piece, max(1, writeBytes/len(form.Piece))))
	if _, err = io.WriteString(conn, head); err != nil {
		return
	}
	for {
		n, err := conn.Write(pieces)
		s.written.Add(int64(n))
		if err != nil {
			return // the client has closed the connection
		}
	}
}

// respond lets the sound handler respond.
func (s *Server) respond(conn net.Conn, r *http.Request) {
	w := &recorder{header: http.Header{}, status: http.StatusOK}
	if s.config.Sound != nil {
		s.config.Sound.ServeHTTP(w, r)
	}
	response := &http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(strings.NewReader(w.body.String())),
	}
	_ = response.Write(conn) // the client may have closed the connection
}

// recorder records a response.
type recorder struct {
	header http.Header
	status int
	body   strings.Builder
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
