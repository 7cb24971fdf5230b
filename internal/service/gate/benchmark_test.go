package gate_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// BenchmarkRequest compares a request through the gate with a direct one to the
// same server. Both use one connection; the difference is the gate's own cost
// and one more hop.
func BenchmarkRequest(b *testing.B) {
	service := &model.Service{Name: serviceName, Slots: 6, LongSlots: 2, Queue: 32}
	clk := newTestClock()
	n := startNode("a", clk, &ledger{runs: map[string]int{}}, &memberList{}, service)
	fast := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "available")
	})}
	defer fast.Close()
	n.server.crash()
	waitFor(func() bool { return !n.backend.Available() })
	listener := listenOn(n.server.address)
	go func() { _ = fast.Serve(listener) }()
	waitFor(n.backend.Available)
	clk.checksOff.Store(true)
	for _, target := range []struct{ name, address string }{{"direct", n.server.address}, {"gate", n.address}} {
		b.Run(target.name, func(b *testing.B) { request(b, target.address) })
	}
}

func request(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodGet, "http://"+address+"/units?free=true", nil)
		must(err)
		hop.Request{ID: "r", Service: serviceName, Class: model.ClassShort, Idempotent: true, Attempt: 1, Timeout: time.Minute}.Encode(r.Header)
		response, err := client.Do(r)
		must(err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
}
