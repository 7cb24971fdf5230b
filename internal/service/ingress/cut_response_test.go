package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// cutResponse is a response that a server begins with some of its bytes.
type cutResponse struct {
	framing framing
	// cut is the number of bytes that are sent, end what happens then: "fin", "reset" or
	// "silent".
	cut  int
	end  string
	read bool // whether the route allows repeats
	size int  // of the body
}

// path is the path of the only request that gets the response.
func (c cutResponse) path() string {
	kind := "/write/"
	if c.read {
		kind = "/read/"
	}
	if c.end == "silent" {
		kind = "/silent" + kind
	}
	return fmt.Sprintf("%s%s/%s/%d/%d", kind, strings.ReplaceAll(c.framing.name, " ", "-"), c.end, c.size, c.cut)
}

func (c cutResponse) method() string {
	if c.framing.method != "" {
		return c.framing.method
	}
	return "POST"
}

func (c cutResponse) body(arrival int) string {
	if c.framing.name == "HEAD" || c.framing.name == "no content" {
		return ""
	}
	text := fmt.Sprintf("%d of %s ", arrival, c.path())
	return strings.Repeat(text, c.size/len(text)+1)[:c.size]
}

// whole returns the bytes of the whole response.
func (c cutResponse) whole(extra string, arrival int) string {
	body := c.body(arrival)
	return c.framing.write(extra, sealOf(body), body)
}

// headLength returns the length of the final head.
func (c cutResponse) headLength() int {
	text := c.whole("", 1)
	return strings.Index(text[strings.Index(text, "X-Seal"):], "\r\n\r\n") + strings.Index(text, "X-Seal") + len("\r\n\r\n")
}

// cutServer answers the first request for each path with its cutResponse and any other one
// with the whole response.
type cutServer struct {
	mu       sync.Mutex
	cases    map[string]cutResponse
	arrivals map[string]int
}

func newCutServer(cases []cutResponse) *cutServer {
	s := &cutServer{cases: make(map[string]cutResponse), arrivals: make(map[string]int)}
	for _, c := range cases {
		s.cases[c.path()] = c
	}
	return s
}

func (s *cutServer) arrive(path string) (cutResponse, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[path]++
	return s.cases[path], s.arrivals[path]
}

func (s *cutServer) arrived(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[path]
}

func (s *cutServer) handle(conn *net.TCPConn, r *http.Request) {
	if answerHealthCheck(conn, r) {
		return
	}
	extra := gateHeader(r, model.OutcomeAnswered)
	c, arrival := s.arrive(r.URL.Path)
	text := c.whole(extra, arrival)
	if arrival > 1 {
		_, _ = io.WriteString(conn, text)
		if c.framing.stream {
			_ = conn.Close()
		}
		return
	}
	// Bytes of the extra header are cut too, but counted as one.
	if c.cut > len(c.whole("", arrival))-c.size {
		c.cut += len(extra)
	}
	_, _ = io.WriteString(conn, text[:min(c.cut, len(text))])
	switch c.end {
	case "fin":
		_ = conn.CloseWrite()
	case "reset":
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	_, _ = conn.Read(make([]byte, 1)) // until the other side closes
	_ = conn.Close()
}

// positions returns the cuts of a response: each byte of a short one, and around the sizes
// of the buffers of net/http of a long one.
func (c cutResponse) positions() []int {
	length, head := len(c.whole("", 1)), c.headLength()
	var cuts []int
	for cut := range length + 1 {
		near := cut == head || cut == length || cut == length-1
		for _, size := range []int{1, 2 << 10, 4 << 10, 32 << 10, 64 << 10} {
			near = near || cut == head+size || cut == size
		}
		if near || length < 512 {
			cuts = append(cuts, cut)
		}
	}
	return cuts
}

const (
	// maxResends and resendDelay limit the repeats of a request that no server has: on a
	// loaded machine a server's health check takes longer than its gate waits.
	maxResends  = 50
	resendDelay = 100 * time.Millisecond
)

// runCuts sends the request for each case to the caller's node, several at a time, each on
// a connection that is kept while its responses are whole. A request that is refused and
// has not arrived at a server is sent again.
func runCuts(t *testing.T, m *mesh, cases []cutResponse, arrived func(path string) int, check func(cutResponse, rawResponse)) {
	const callers = 48
	queue := make(chan cutResponse)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			caller := cutCaller{t: t, address: strings.TrimPrefix(m.url, "http://")}
			defer caller.close()
			for c := range queue {
				r, ok := caller.send(c)
				for n := 0; ok && n < maxResends && r.status == http.StatusServiceUnavailable && arrived(c.path()) == 0; n++ {
					time.Sleep(resendDelay)
					r, ok = caller.send(c)
				}
				if ok {
					check(c, r)
				}
			}
		})
	}
	for _, c := range cases {
		queue <- c
	}
	close(queue)
	running.Wait()
}

// cutCaller is a caller with at most one connection.
type cutCaller struct {
	t       *testing.T
	address string
	conn    net.Conn
}

// send sends the request of a case and reads the response. It returns false if the node
// accepts no connection.
func (c *cutCaller) send(cut cutResponse) (rawResponse, bool) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			c.t.Error(err)
			return rawResponse{}, false
		}
		c.conn = conn
	}
	_, _ = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", cut.method(), cut.path())
	r := readRaw(c.conn, cut.method())
	if !r.whole || r.header["connection"] == "close" {
		c.close()
	}
	return r, true
}

func (c *cutCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
