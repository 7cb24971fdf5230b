package gate_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// TestResetResponseIsNotComplete guards against a response without a length that is reset
// and passed on as if it had ended. While the request is still being written, the reset is
// reported to the writer alone, and the reader sees the end of the stream.
func TestResetResponseIsNotComplete(t *testing.T) {
	const (
		large    = 8 << 20 // more than the socket buffers hold
		attempts = 4       // writer and reader race for the error
	)
	for name, test := range map[string]struct {
		size     int
		end      func(*net.TCPConn)
		complete bool
	}{
		"reset":                 {0, reset, false},
		"reset during upload":   {large, reset, false},
		"end of stream":         {0, func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
		"end before upload end": {large, func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relayed := make(chan struct{})
			n := startRawServer(t, nil, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				<-relayed
				test.end(conn)
				<-relayed
			})
			for range attempts {
				conn := sendRaw(t, n, make([]byte, test.size))
				var response bytes.Buffer
				for !strings.Contains(response.String(), "part") {
					if _, err := io.CopyN(&response, conn, 1); err != nil {
						t.Fatalf("%v after %q", err, response.String())
					}
				}
				relayed <- struct{}{}
				_, _ = io.Copy(&response, conn)
				relayed <- struct{}{}
				_ = conn.Close()
				if got := strings.HasSuffix(response.String(), "part\r\n0\r\n\r\n"); got != test.complete {
					t.Errorf("complete: %t, want %t: %q", got, test.complete, response.String())
				}
			}
		})
	}
}

// sendRaw sends a request that is not idempotent to a gate and returns the connection, on
// which the body may still be in transit.
func sendRaw(t *testing.T, n *node, body []byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.address)
	must(err)
	must(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.address+"/units", bytes.NewReader(body))
	must(err)
	r.Close = true
	hop.Request{
		ID: model.RequestID(conn.LocalAddr().String()), Service: serviceName, Class: model.ClassShort,
		Attempt: 1, Timeout: time.Second,
	}.Encode(r.Header)
	head, err := httputil.DumpRequestOut(r, false)
	must(err)
	_, err = conn.Write(head)
	must(err)
	go func() { _, _ = conn.Write(body) }()
	return conn
}
