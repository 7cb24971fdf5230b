// Package load sends requests at constant rates to the nodes' ports for callers, and
// checks from outside the mesh that the outcome of each request is consistent with
// its executions.
package load

import (
	"bytes"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/galenalever/galenalever/internal/standin/backend"
)

// Workload describes one kind of request and its rate.
type Workload struct {
	// Name is part of the request IDs.
	Name   string
	Method string
	Host   string
	Path   string
	// Idempotent says whether the route is idempotent.
	Idempotent bool
	// HasIdempotencyKey adds an Idempotency-Key header to each request.
	HasIdempotencyKey bool
	// Rate is the number of requests per second.
	Rate float64
	// Run is the run time at the server; 0 means the server's default.
	Run time.Duration
	// ResponseBytes is the size of the padding in the response.
	ResponseBytes int
	// BodyBytes is the size of the request body. BodyTime is the time over which it is
	// sent; 0 means at once.
	BodyBytes int
	BodyTime  time.Duration
	// Chunked sends the body without a length.
	Chunked bool
	// Timeout is how long the caller waits for the whole response, as it tells the node;
	// 0 means until the route's deadline.
	Timeout time.Duration
	// RouteDeadline is the deadline of the route; 0 means none.
	RouteDeadline time.Duration
}

// Deadline returns the time from the send of a request by which its response is due, or
// 0 if there is no limit.
func (w Workload) Deadline() time.Duration {
	if w.Timeout > 0 && (w.RouteDeadline == 0 || w.Timeout < w.RouteDeadline) {
		return w.Timeout
	}
	return w.RouteDeadline
}

// target returns the URL of a request to a node's address. The query contains the ID,
// because requests of real callers differ in their URLs.
func (w Workload) target(address, id string) string {
	query := url.Values{"id": {id}}
	if w.Run > 0 {
		query.Set(backend.ParamRun, w.Run.String())
	}
	if w.ResponseBytes > 0 {
		query.Set(backend.ParamSize, strconv.Itoa(w.ResponseBytes))
	}
	u := url.URL{Scheme: "http", Host: address, Path: w.Path, RawQuery: query.Encode()}
	return u.String()
}

func (w Workload) body(id string) []byte {
	pattern := fmt.Appendf(nil, "body of %s;", id)
	return bytes.Repeat(pattern, w.BodyBytes/len(pattern)+1)[:w.BodyBytes]
}

// bodyChunks is the number of chunks in which a slow body is sent.
const bodyChunks = 20

// slowReader returns a body in chunks with a pause before each. It fails once done
// is closed.
type slowReader struct {
	remaining  []byte
	chunkBytes int
	pause      time.Duration
	done       <-chan struct{}
}

func newSlowReader(body []byte, over time.Duration, done <-chan struct{}) *slowReader {
	return &slowReader{remaining: body, chunkBytes: len(body)/bodyChunks + 1, pause: over / bodyChunks, done: done}
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	timer := time.NewTimer(r.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.done:
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.remaining[:min(r.chunkBytes, len(r.remaining))])
	r.remaining = r.remaining[n:]
	return n, nil
}
