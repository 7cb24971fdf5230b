// Package httpclient bounds what the sender of a response can make a client keep in
// memory.
package httpclient

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// MaxHeaderBytes is the maximum size, in bytes, of the header of a response between
// nodes or from the platform. By default http.Transport reads 10 MiB.
const MaxHeaderBytes = 64 << 10

// Bounded makes requests and bounds the bodies of their responses. Clients of Twirp read
// a body to its end, however long it is.
type Bounded struct {
	// Client makes the requests. Its transport bounds the headers.
	Client *http.Client
	// MaxBytes is the maximum size of a body in bytes.
	MaxBytes int64
}

// Do makes a request. Reading more than MaxBytes bytes of the response's body returns an
// error.
func (b Bounded) Do(r *http.Request) (*http.Response, error) {
	response, err := b.Client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = struct {
		io.Reader
		io.Closer
	}{NewReader(response.Body, b.MaxBytes), response.Body}
	return response, nil
}

// reader reads at most left bytes and then fails, unless the end follows.
type reader struct {
	source      io.Reader
	limit, left int64
}

// NewReader returns a reader of source that fails after limit bytes. Unlike that of
// io.LimitReader, what it returns without an error is complete.
func NewReader(source io.Reader, limit int64) io.Reader {
	return &reader{source: source, limit: limit, left: limit}
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return 0, r.tooLarge()
	}
	if int64(len(p)) > r.left+1 {
		p = p[:r.left+1]
	}
	n, err := r.source.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return n - 1, r.tooLarge()
	}
	return n, err
}

func (r *reader) tooLarge() error { return eris.Errorf("response exceeds %d bytes", r.limit) }
