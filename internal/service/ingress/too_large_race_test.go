package ingress_test

import (
	"testing"
)

// TestUploadBecomesTooLargeAfterResponse guards against a data race that can end the process:
// an upload turns out to be too large while the response to it is being written.
func TestUploadBecomesTooLargeAfterResponse(t *testing.T) {
	for range 20 {
		reader := &uploadReader{t: t, text: earlyResponses["chunked"].text, size: 640 << 10, done: make(chan struct{}, 1)}
		m := newRawMesh(t)
		for _, route := range m.tree.Routes {
			route.MaxBody = earlyAfter + 64<<10
		}
		m.addRealGate(t, "gate", startRawServer(t, reader.handle).address())
		m.start(0)
		m.publish()
		sendUpload(t, m.listener.Addr().String(), "/write/upload", reader.size, true)
		<-reader.done
	}
}
