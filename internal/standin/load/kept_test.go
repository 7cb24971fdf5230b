package load_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/standin/load"
)

// startKept runs clients with one connection, and one unused one, to a server until the
// server has received the number of requests, and returns their records.
func startKept(t *testing.T, handler http.HandlerFunc, requests int) (records []load.Record, connections int) {
	t.Helper()
	var mu sync.Mutex
	enough := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handler(w, r)
		mu.Lock()
		defer mu.Unlock()
		if requests--; requests == 0 {
			close(enough)
		}
	}))
	used := make(map[net.Conn]bool)
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if state == http.StateActive { // the first byte of a request has come
			used[conn] = true
		}
	}
	server.Start()
	defer server.Close()
	clients := load.NewKeptClients(load.KeptConfig{
		Nodes:       []func() string{func() string { return strings.TrimPrefix(server.URL, "http://") }},
		Connections: 1, Unused: 1, Prefix: "test",
		Next: func(*rand.Rand) load.Workload {
			return load.Workload{Name: "offer", Method: "POST", Path: "/", BodyBytes: 50, Chunked: true, BodyTime: 20 * time.Millisecond, Timeout: time.Minute}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clients.Run(ctx)
	}()
	<-enough
	cancel()
	<-ended
	mu.Lock()
	defer mu.Unlock()
	return clients.Records(), len(used)
}

// TestKeptConnectionIsReusedUntilTheNodeAnnouncesItsClose counts the connections on
// which requests came.
func TestKeptConnectionIsReusedUntilTheNodeAnnouncesItsClose(t *testing.T) {
	const requests = 3
	tests := map[string]struct {
		header string
		want   int
	}{
		"kept":   {"keep-alive", 1},
		"closed": {"close", requests},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			records, connections := startKept(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", test.header)
			}, requests)
			if connections != test.want {
				t.Errorf("%d connections, want %d", connections, test.want)
			}
			for _, r := range records {
				if s := r.Last(); s.Status != http.StatusOK || s.Written.Before(s.At) {
					t.Errorf("%s: status %d, written %s", r, s.Status, s.Written)
				}
			}
		})
	}
}

func TestConnectionClosedUnderARequestIsRecordedAsCut(t *testing.T) {
	records, _ := startKept(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = conn.Close() // the client has sent its request
	}, 1)
	if !slices.ContainsFunc(records, func(r load.Record) bool { return r.Last().Result == load.ResultCut }) {
		t.Errorf("records %v, want a cut one", records)
	}
}
