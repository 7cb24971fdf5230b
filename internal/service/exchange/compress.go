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

// compressLarge compresses large responses for peers that accept gzip. Similar
// leaves compress to a fraction of their size, which matters on links with little
// bandwidth.
func compressLarge(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") == encodingGzip {
			w = &compressor{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// compressor delays the header of a response until the body is known. The body must be
// written in a single call.
type compressor struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (c *compressor) WriteHeader(status int) { c.status = status }

// Write implements http.ResponseWriter.
func (c *compressor) Write(body []byte) (int, error) {
	encoded := body
	if c.status != 0 && len(body) > largeResponseBytes {
		var buffer bytes.Buffer
		// BestSpeed is a valid level, and writes to a buffer do not fail.
		z, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
		_, _ = z.Write(body)
		_ = z.Close()
		encoded = buffer.Bytes()
		c.Header().Set("Content-Encoding", encodingGzip)
		c.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	}
	if c.status != 0 {
		c.ResponseWriter.WriteHeader(c.status)
		c.status = 0
	}
	if _, err := c.ResponseWriter.Write(encoded); err != nil {
		return 0, err
	}
	return len(body), nil
}

// decompressed returns a reader of the decoded content of a response.
func decompressed(response *http.Response, body io.Reader) (io.Reader, error) {
	if response.Header.Get("Content-Encoding") != encodingGzip {
		return body, nil
	}
	return gzip.NewReader(body)
}
