package ingress_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

func respondImmediately(w http.ResponseWriter, r *http.Request) {
	q, _ := hop.DecodeRequest(r.Header)
	response := hop.Response{ID: q.ID, Outcome: model.OutcomeAnswered, Incarnation: 7}
	response.Encode(w.Header())
	_, _ = io.WriteString(w, "answer")
}

// BenchmarkCall measures calls directly to a server and through one node. The
// allocations are those of client, node and server together.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(respondImmediately)}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	node := benchNode(b, listener.Addr().String())
	b.Run("direct", func(b *testing.B) { benchCalls(b, "http://"+listener.Addr().String()+"/read/") })
	b.Run("through one node", func(b *testing.B) { benchCalls(b, node+"/read/") })
}

func benchCalls(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{}}
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	client.CloseIdleConnections()
}

// benchNode starts a caller's node with the system clock and one server, whose gate has
// the given address. It returns the node's URL.
func benchNode(b *testing.B, gate string) string {
	m := newMesh(b)
	m.clock = clock.System{}
	service := &model.Service{Name: "shop/catalog", Slots: 6, Queue: 12}
	m.tree.Services[service.Name] = service
	m.tree.Routes = []*model.Route{{
		Team: "shop", Name: "read", PathPrefix: "/read/", Service: service.Name, Idempotent: true,
	}}
	m.membership.members = []model.Member{{
		ID: "a", Service: service.Name, Domain: "jkt", Addresses: model.Addresses{Traffic: gate},
		Announced: model.Announcement{Incarnation: 7, Presence: model.PresenceReady},
	}}
	m.start(0)
	m.publish()
	return m.url
}
