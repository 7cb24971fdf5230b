package ingress_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/endless"
)

// maxEndlessLoser is the maximum number of bytes that the gate of an attempt can send that
// lost against a hedge: what is read in advance, and what the socket buffers hold.
const maxEndlessLoser = 1<<20 + 32<<20

// trackingListener closes the connections that it has accepted. A connection that was
// opened for an attempt which then lost would stay in the node's pool, unused.
type trackingListener struct {
	net.Listener
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
	}
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (l *trackingListener) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// TestEndlessResponseLosesAgainstHedge guards against a hedged attempt whose response does
// not end and is read on after the other attempt has won.
func TestEndlessResponseLosesAgainstHedge(t *testing.T) {
	for _, form := range append(endless.Heads(), endless.Bodies("Galena-Gate: i=ID&o=answered&n=7\r\n")...) {
		t.Run(form.Name, func(t *testing.T) {
			m := newMesh(t)
			m.clock = clock.System{}
			service := &model.Service{Name: "shop/catalog", Slots: 6, Queue: 12}
			m.tree.Services[service.Name] = service
			m.tree.Routes = []*model.Route{{
				Team: "shop", Name: "read", PathPrefix: "/read/", Service: service.Name, Idempotent: true,
				Class: model.ClassShort, Deadline: 2 * time.Second,
				Retry: model.Retry{Attempts: 2, BudgetPercent: 100},
				Hedge: model.Hedge{After: time.Millisecond, BudgetPercent: 100},
			}}
			var gates []*endless.Server
			for _, id := range []model.InstanceID{"a", "b"} {
				inner, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				listener := &trackingListener{Listener: inner}
				t.Cleanup(listener.closeConnections)
				gate := endless.New(listener, endless.Config{
					Form: func(*http.Request) *endless.Form { return &form },
					ID: func(r *http.Request) string {
						request, _ := hop.DecodeRequest(r.Header)
						return string(request.ID)
					},
				})
				t.Cleanup(gate.Close)
				gates = append(gates, gate)
				m.membership.members = append(m.membership.members, model.Member{
					ID: id, Service: service.Name, Domain: "jkt", Addresses: model.Addresses{Traffic: listener.Addr().String()},
					Announced: model.Announcement{Incarnation: 7, Presence: model.PresenceReady},
				})
			}
			m.start(0)
			m.publish()
			// Without a response that can be passed on, the node may close the connection.
			if response, err := http.Get(m.url + "/read/units"); err == nil {
				_, _ = io.CopyN(io.Discard, response.Body, 4<<10) // then the caller leaves
				response.Body.Close()
			}
			least := int64(1 << 62)
			for _, gate := range gates {
				gate.Wait()
				least = min(least, gate.Written())
			}
			if least > maxEndlessLoser {
				t.Errorf("each gate sent at least %d bytes, limit %d", least, maxEndlessLoser)
			}
		})
	}
}
