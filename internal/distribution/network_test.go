package distribution

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

const (
	// localDelay and remoteDelay are the one-way delays within a failure domain and
	// between failure domains.
	localDelay  = 500 * time.Microsecond
	remoteDelay = 4 * time.Millisecond
	// overheadBytes is the assumed size of the HTTP headers of a request or response.
	overheadBytes = 150
)

var errRefused = errors.New("connection refused")

// remoteExchange implements wire.Exchange by calls to another node over the simulated
// network.
type remoteExchange struct {
	mesh    *mesh
	from    *node
	address string
}

// dialer returns the function with which a node connects to a control address.
func (m *mesh) dialer(from *node) func(string) wire.Exchange {
	return func(address string) wire.Exchange { return &remoteExchange{mesh: m, from: from, address: address} }
}

// Poll implements wire.Exchange.
func (e *remoteExchange) Poll(ctx context.Context, r *wire.PollRequest) (*wire.PollResponse, error) {
	return call(ctx, e, r, func(ctx context.Context, to *node) (*wire.PollResponse, error) {
		return to.exchange.Poll(ctx, r)
	})
}

// Announce implements wire.Exchange.
func (e *remoteExchange) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	e.mesh.announced.Add(1)
	return call(ctx, e, r, func(ctx context.Context, to *node) (*wire.AnnounceResponse, error) {
		return to.exchange.Announce(ctx, r)
	})
}

// Suspect implements wire.Exchange.
func (e *remoteExchange) Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectResponse, error) {
	return call(ctx, e, r, func(ctx context.Context, to *node) (*wire.SuspectResponse, error) {
		return to.exchange.Suspect(ctx, r)
	})
}

// call sends a request to the remote node, handles it there and returns the response. It
// fails with errRefused if either node is dead, and ends when the remote node is killed.
func call[Q, R proto.Message](ctx context.Context, e *remoteExchange, request Q, handle func(context.Context, *node) (R, error)) (R, error) {
	var zero R
	to := e.mesh.nodeAt(e.address)
	if to == nil {
		return zero, errRefused
	}
	if err := e.transfer(ctx, to, request); err != nil {
		return zero, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(to.ctx, cancel)()
	response, err := handle(ctx, to)
	if err != nil {
		return zero, err
	}
	return response, e.transfer(ctx, to, response)
}

// transfer delays a message by the network delay and counts its bytes. A message across
// a partition is lost, so that the caller waits until its timeout.
func (e *remoteExchange) transfer(ctx context.Context, to *node, message proto.Message) error {
	delay := localDelay
	if e.from.self.Domain != to.self.Domain {
		delay = remoteDelay
	}
	if r, ok := message.(*wire.PollResponse); ok && e.mesh.bandwidth(e.from.self) > 0 && wholeConfiguration(r) {
		delay += e.mesh.slowTransfer / compression
	}
	_ = clock.Wait(ctx, e.mesh.clock, delay)
	switch {
	case !e.from.alive() || !to.alive():
		return errRefused
	case e.mesh.separated(e.from.self.Domain, to.self.Domain) || e.mesh.silent(e.from) || e.mesh.silent(to):
		<-ctx.Done()
		return ctx.Err()
	}
	e.mesh.countBytes(e.from, to, proto.Size(message)+overheadBytes)
	return ctx.Err()
}

// compression is the factor by which a whole configuration is compressed between nodes.
const compression = 3

func wholeConfiguration(r *wire.PollResponse) bool {
	for _, s := range r.GetSubtrees() {
		if s.GetBase() == 0 {
			return true
		}
	}
	return false
}

func (m *mesh) silent(n *node) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silentNodes[n.self.ID]
}

// separated reports whether a partition lies between two domains.
func (m *mesh) separated(a, b model.FailureDomain) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a != b && (m.partitioned[a] || m.partitioned[b])
}
