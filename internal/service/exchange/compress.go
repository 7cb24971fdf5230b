package exchange

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"strconv"
)

// encodingGzip is the value of Accept-Encoding and Content-Encoding.
const encodingGzip = "gzip"

// compressLarge compresses large answers for peers that take it. Leaves that are
// alike shrink to a fraction, which counts on a thin link.
func compressLarge(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") == encodingGzip {
			w = &compressor{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// compressor holds the head of an answer back until its body is known, which comes
// in one piece.
type compressor struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (c *compressor) WriteHeader(status int) { c.status = status }

// Write implements http.ResponseWriter.
func (c *compressor) Write(body []byte) (int, error) {
	out := body
	if c.status != 0 && len(body) > largeAnswer {
		var buffer bytes.Buffer
		// BestSpeed is a known level, and writes to a buffer do not fail.
		z, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
		_, _ = z.Write(body)
		_ = z.Close()
		out = buffer.Bytes()
		c.Header().Set("Content-Encoding", encodingGzip)
		c.Header().Set("Content-Length", strconv.Itoa(len(out)))
	}
	if c.status != 0 {
		c.ResponseWriter.WriteHeader(c.status)
		c.status = 0
	}
	if _, err := c.ResponseWriter.Write(out); err != nil {
		return 0, err
	}
	return len(body), nil
}

// decompressed returns the reader of an answer's content.
func decompressed(response *http.Response, body io.Reader) (io.Reader, error) {
	if response.Header.Get("Content-Encoding") != encodingGzip {
		return body, nil
	}
	return gzip.NewReader(body)
}
