package httpclient_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/httpclient"
)

// TestReaderFailsBeyondTheLimit checks that a body of at most the limit is read whole and
// that of a longer one no more than the limit is read, with an error.
func TestReaderFailsBeyondTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body")
		limit := rapid.IntRange(0, 64).Draw(t, "limit")
		var source io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "single bytes") {
			source = iotest.OneByteReader(source)
		}
		got, err := io.ReadAll(httpclient.NewReader(source, int64(limit)))
		if want := body[:min(len(body), limit)]; !bytes.Equal(got, want) {
			t.Fatalf("read %d bytes, want %d", len(got), len(want))
		}
		if (err != nil) != (len(body) > limit) {
			t.Fatalf("%d bytes with limit %d: %v", len(body), limit, err)
		}
	})
}
