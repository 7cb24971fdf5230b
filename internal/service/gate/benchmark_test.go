package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// BenchmarkRequest compares a request through the gate with a direct one to the
// same server. Both use one connection; the difference is the cost of the gate and
// of one more hop.
func BenchmarkRequest(b *testing.B) {
	service := &model.Service{Name: serviceName, Slots: 6, LongSlots: 2, Queue: 32}
	clk, members := newTestClock(), &memberList{}
	n := startNode("a", clk, &ledger{runs: map[string]int{}}, members, service)
	fast := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "available")
	})}
	defer fast.Close()
	n.server.crash()
	waitFor(func() bool { return !n.backend.Available() })
	listener := listenOn(n.server.address)
	go func() { _ = fast.Serve(listener) }()
	waitFor(n.backend.Available)
	clk.healthChecksPaused.Store(true)
	for _, target := range []struct{ name, address string }{{"direct", n.server.address}, {"gate", n.address}} {
		b.Run(target.name, func(b *testing.B) { benchmarkRequests(b, target.address, http.MethodGet) })
	}
	startNode("b", clk, &ledger{runs: map[string]int{}}, members, service)
	startNode("c", clk, &ledger{runs: map[string]int{}}, members, service)
	b.Run("gate-with-key", func(b *testing.B) { benchmarkRequests(b, n.address, http.MethodPost) })
}

// benchmarkRequests measures GET requests, or POST requests with an idempotency key.
func benchmarkRequests(b *testing.B, address, method string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r, err := http.NewRequest(method, "http://"+address+"/units?free=true", nil)
		must(err)
		id := fmt.Sprint(address, b.N, i)
		if method == http.MethodPost {
			r.Header.Set("Idempotency-Key", id)
		}
		hop.Request{
			ID: model.RequestID(id), Service: serviceName, Class: model.ClassShort,
			Idempotent: method == http.MethodGet, Attempt: 1, Timeout: time.Minute,
		}.Encode(r.Header)
		response, err := client.Do(r)
		must(err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
}
