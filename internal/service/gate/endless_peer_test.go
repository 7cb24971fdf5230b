package gate_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/service/gate"
	"github.com/galenalever/galenalever/internal/standin/endless"
)

// maxEndlessPeerResponse is the maximum number of bytes that another gate can send: what a
// gate reads of a response, and what the socket buffers hold.
const maxEndlessPeerResponse = 16<<20 + 32<<20

// TestEndlessResponseOfAnotherGate guards against a gate whose response to a call of
// another one does not end, and that the other one would keep whole.
func TestEndlessResponseOfAnotherGate(t *testing.T) {
	for _, form := range append(endless.Heads(), endless.Bodies("Content-Type: application/protobuf\r\n")...) {
		t.Run(form.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must(err)
			server := endless.New(listener, endless.Config{Form: func(*http.Request) *endless.Form { return &form }})
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := gate.FetchRecords(ctx, listener.Addr().String()); err == nil {
				t.Error("the call succeeded")
			}
			server.Wait()
			if written := server.Written(); written > maxEndlessPeerResponse {
				t.Errorf("the gate sent %d bytes, limit %d", written, maxEndlessPeerResponse)
			}
		})
	}
}
