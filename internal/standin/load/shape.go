// Package load sends requests of fixed shapes through the callers' ports of a
// mesh at a steady rate, and checks from outside what became of each.
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

// Workload describes one kind of request.
type Workload struct {
	Name   string
	Method string
	Host   string
	Path   string
	// Idempotent is what the route says.
	Idempotent bool
	// HasIdempotencyKey requests carry an idempotency key.
	HasIdempotencyKey bool
	// Rate is the number of requests in a second.
	Rate float64
	// Run is the run time at the server; 0 means the server's own.
	Run time.Duration
	// ResponseBytes is the padding of the answer.
	ResponseBytes int
	// BodyBytes are sent over BodyTime.
	BodyBytes int
	BodyTime  time.Duration
}

// target returns the URL of a request at a callers' address. The ID stands in
// the query, as requests for different things differ in their URLs.
func (s Workload) target(address, id string) string {
	query := url.Values{"id": {id}}
	if s.Run > 0 {
		query.Set(backend.ParamRun, s.Run.String())
	}
	if s.ResponseBytes > 0 {
		query.Set(backend.ParamSize, strconv.Itoa(s.ResponseBytes))
	}
	u := url.URL{Scheme: "http", Host: address, Path: s.Path, RawQuery: query.Encode()}
	return u.String()
}

// body returns the bytes of a request, which depend on its ID.
func (s Workload) body(id string) []byte {
	pattern := fmt.Appendf(nil, "body of %s;", id)
	return bytes.Repeat(pattern, s.BodyBytes/len(pattern)+1)[:s.BodyBytes]
}

// bodyPieces is the number of pieces in which a body is spread over its time.
const bodyPieces = 20

// slowReader hands out a body in pieces with a pause before each.
type slowReader struct {
	rest  []byte
	piece int
	pause time.Duration
	done  <-chan struct{}
}

func newSlowReader(body []byte, over time.Duration, done <-chan struct{}) *slowReader {
	return &slowReader{rest: body, piece: len(body)/bodyPieces + 1, pause: over / bodyPieces, done: done}
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	timer := time.NewTimer(r.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.done:
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.rest[:min(r.piece, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}
