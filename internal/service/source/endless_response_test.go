package source_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/service/source"
	"github.com/galenalever/galenalever/internal/standin/endless"
)

const (
	// maxEndlessHead and maxEndlessBody are the maximum numbers of bytes that a faulty
	// platform can send: what the caller reads, and what the socket buffers hold. The
	// system enlarges that of a reader which keeps up.
	maxEndlessHead = 1<<20 + 8<<20
	maxEndlessBody = 32<<20 + 32<<20
)

// TestEndlessResponseOfThePlatform guards against a platform that responds without end: the
// call must fail and close its connection, however much data arrives.
func TestEndlessResponseOfThePlatform(t *testing.T) {
	const json = "Content-Type: application/json\r\n"
	forms := map[int64][]endless.Form{
		maxEndlessHead: endless.Heads(),
		maxEndlessBody: append(endless.Bodies(json),
			endless.Form{Name: "text", Head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"items\":[{\"key\":\"", Piece: "x"},
			endless.Form{Name: "items", Head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"items\":[", Piece: "{},"},
			endless.Form{Name: "failure", Head: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n", Piece: "x"}),
	}
	for limit, list := range forms {
		for _, form := range list {
			t.Run(form.Name, func(t *testing.T) {
				t.Parallel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				server := endless.New(listener, endless.Config{Form: func(*http.Request) *endless.Form { return &form }})
				defer server.Close()
				var out struct {
					Items []struct{ Key, Value string }
				}
				caller := source.NewCaller("http://" + listener.Addr().String())
				begin := time.Now()
				if _, err := caller.Get(t.Context(), "/v1/keys", nil, 0, time.Second, &out); err == nil && !form.AfterResponse {
					t.Error("the call succeeded")
				}
				server.Wait()
				if written := server.Written(); written > limit {
					t.Errorf("the platform sent %d bytes, limit %d", written, limit)
				}
				t.Logf("%d bytes in %v", server.Written(), time.Since(begin).Round(time.Millisecond))
			})
		}
	}
}

// TestResponseOfManyElements guards against a response of a few megabytes whose lists take
// many times as much memory once they are decoded.
func TestResponseOfManyElements(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"items":[{}` + strings.Repeat(",{}", 1<<20) + `]}`)) // the caller may be gone
	}))
	defer server.Close()
	var out struct {
		Items []struct{ Key, Value string }
	}
	if _, err := source.NewCaller(server.URL).Get(t.Context(), "/v1/keys", nil, 0, time.Second, &out); err == nil || len(out.Items) > 0 {
		t.Errorf("%d items, error %v", len(out.Items), err)
	}
}
