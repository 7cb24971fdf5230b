package ingress_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/balancer"
	"github.com/galenalever/galenalever/internal/service/forward"
	"github.com/galenalever/galenalever/internal/service/ingress"
	"github.com/galenalever/galenalever/internal/service/routing"
)

// quickGate answers at once, as the gate beside a server that takes no time.
func quickGate(w http.ResponseWriter, r *http.Request) {
	q, _ := hop.DecodeRequest(r.Header)
	response := hop.Response{ID: q.ID, Outcome: model.OutcomeAnswered, Incarnation: 7}
	response.Encode(w.Header())
	_, _ = io.WriteString(w, "answer")
}

// BenchmarkCall measures a call straight to a server and through one node, with
// allocations of all sides of the connection together.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(quickGate)}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	node := benchNode(b, listener.Addr().String())
	b.Run("direct", func(b *testing.B) { benchCalls(b, "http://"+listener.Addr().String()+"/read") })
	b.Run("through one node", func(b *testing.B) { benchCalls(b, "http://"+node+"/read") })
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

// benchNode starts a caller's node on the system clock and returns its address.
func benchNode(b *testing.B, gate string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	service := &model.Service{Name: "shop/catalog", Slots: 6, Queue: 12}
	tree := &model.Tree{
		Services: map[model.ServiceName]*model.Service{service.Name: service},
		Routes:   []*model.Route{{Team: "shop", Name: "read", PathPrefix: "/read", Service: service.Name, Idempotent: true}},
	}
	members := &fakeMembership{members: []model.Member{{
		ID: "a", Service: service.Name, Domain: "jkt", Addresses: model.Addresses{Traffic: gate},
		Announced: model.Announcement{Incarnation: 7, Presence: model.PresenceReady},
	}}}
	config := &fakeConfig{snapshot: kernel.NewSnapshot(&model.Configuration{Tree: tree})}
	self := model.Self{ID: "caller", Domain: "jkt", Incarnation: 1}
	k := kernel.New(clock.System{}, slog.New(slog.DiscardHandler))
	err = k.Register(
		&fakeTimeline{}, &fakeMetrics{scope: tally.NewTestScope("", nil)}, &fakeWatchdog{}, config, members,
		routing.New(), balancer.New(balancer.Config{Self: self}), forward.New(forward.Config{}),
		ingress.New(ingress.Config{Self: self, Listener: listener}),
	)
	if err != nil {
		b.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = k.Stop(context.Background()) })
	m := &mesh{t: b, kernel: k, config: config, tree: tree}
	m.publish()
	return listener.Addr().String()
}
