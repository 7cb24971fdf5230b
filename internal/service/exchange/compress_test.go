package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestLargeResponsesAreCompressedForPeersThatAcceptGzip checks that compression
// preserves the content, and that small responses and responses to peers that do
// not accept gzip are sent uncompressed.
func TestLargeResponsesAreCompressedForPeersThatAcceptGzip(t *testing.T) {
	var large strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&large, `{"name":"r-%d","path":"/a%d/"}`, i, i*7919)
	}
	content := ""
	server := httptest.NewServer(compressLarge(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(content)))
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, content)
	})))
	defer server.Close()
	for _, test := range []struct {
		name, accept, content string
		maxBytes              int64
	}{
		{"large", encodingGzip, large.String(), int64(large.Len() / 4)},
		{"large without gzip", "identity", large.String(), int64(large.Len())},
		{"small", encodingGzip, "small", 5},
	} {
		content = test.content
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Accept-Encoding", test.accept)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		if response.ContentLength > test.maxBytes {
			t.Errorf("%s: %d bytes sent for a content of %d", test.name, response.ContentLength, len(content))
		}
		reader, err := decompressed(response, response.Body)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(reader)
		if err != nil || !bytes.Equal(got, []byte(content)) {
			t.Errorf("%s: content differs, read error %v", test.name, err)
		}
		response.Body.Close()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}
