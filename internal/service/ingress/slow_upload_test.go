package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRunningUploadIsNotRefusedAsNotRun guards against a status that promises "not run"
// for an upload that a server has begun to receive when the timeout ends it.
func TestRunningUploadIsNotRefusedAsNotRun(t *testing.T) {
	const chunk = 70_000 // more than is buffered before a request is passed on
	for name, test := range map[string]struct {
		script string
		want   int
	}{
		"a server receives it": {"respond", http.StatusGatewayTimeout},
		"no server has it":     {"refuse queue-full", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			m.startWithGate()
			m.tree.Routes[0].Deadline = 500 * time.Millisecond
			m.publish()
			m.script.set([]string{test.script, test.script, test.script, test.script})
			conn := m.dial()
			_, err := fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
				chunk, strings.Repeat("x", chunk))
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(conn.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != test.want {
				text, _ := io.ReadAll(response.Body)
				t.Errorf("status %d, want %d: %s", response.StatusCode, test.want, text)
			}
		})
	}
}
