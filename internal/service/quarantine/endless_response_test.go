package quarantine_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	decision "github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/quarantine"
	"github.com/galenalever/galenalever/internal/standin/endless"
	"github.com/galenalever/galenalever/internal/timeline"
)

type fakeTimeline struct{}

func (fakeTimeline) Name() string                 { return control.Timeline }
func (fakeTimeline) Record(timeline.Kind, string) {}

type fakeMembers []model.Member

func (fakeMembers) Name() string                                      { return control.Membership }
func (f fakeMembers) ServiceMembers(model.ServiceName) []model.Member { return f }

// maxEndlessResponse is the maximum number of bytes that a peer can send: what a node
// reads of a response, and what the socket buffers hold.
const maxEndlessResponse = 1<<20 + 32<<20

// TestEndlessResponseOfAPeer guards against a peer whose response to a notice does not end,
// and that a node would keep whole.
func TestEndlessResponseOfAPeer(t *testing.T) {
	for _, form := range append(endless.Heads(), endless.Bodies("Content-Type: application/protobuf\r\n")...) {
		t.Run(form.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := endless.New(listener, endless.Config{Form: func(*http.Request) *endless.Form { return &form }})
			defer server.Close()
			self := model.Self{ID: "node", Service: "shop/stock"}
			peer := model.Member{ID: "peer", Service: self.Service, Addresses: model.Addresses{Control: listener.Addr().String()}}
			service := quarantine.New(quarantine.Config{Self: self})
			k := kernel.New(clock.System{}, slog.New(slog.DiscardHandler))
			if err := k.Register(fakeTimeline{}, fakeMembers{peer}, service); err != nil {
				t.Fatal(err)
			}
			if err := k.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			service.Report(t.Context(), []decision.Fingerprint{1})
			server.Wait()
			if written := server.Written(); written > maxEndlessResponse {
				t.Errorf("the peer sent %d bytes, limit %d", written, maxEndlessResponse)
			}
			if err := k.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}
