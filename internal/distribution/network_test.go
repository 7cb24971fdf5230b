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
	// localDelay and remoteDelay are the one-way delays within a failure domain
	// and between two.
	localDelay  = 500 * time.Microsecond
	remoteDelay = 4 * time.Millisecond
	// overheadBytes is what HTTP adds to a request or an answer.
	overheadBytes = 150
)

var errRefused = errors.New("connection refused")

// link is the exchange of another node as seen over the network.
type link struct {
	mesh    *mesh
	from    *node
	address string
}

func (m *mesh) dialer(from *node) func(string) wire.Exchange {
	return func(address string) wire.Exchange { return &link{mesh: m, from: from, address: address} }
}

// Poll implements wire.Exchange.
func (l *link) Poll(ctx context.Context, r *wire.PollRequest) (*wire.PollResponse, error) {
	return call(ctx, l, r, func(ctx context.Context, to *node) (*wire.PollResponse, error) {
		return to.exchange.Poll(ctx, r)
	})
}

// Announce implements wire.Exchange.
func (l *link) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	l.mesh.announced.Add(1)
	return call(ctx, l, r, func(ctx context.Context, to *node) (*wire.AnnounceResponse, error) {
		return to.exchange.Announce(ctx, r)
	})
}

// Suspect implements wire.Exchange.
func (l *link) Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectResponse, error) {
	return call(ctx, l, r, func(ctx context.Context, to *node) (*wire.SuspectResponse, error) {
		return to.exchange.Suspect(ctx, r)
	})
}

func call[Q, R proto.Message](ctx context.Context, l *link, request Q, serve func(context.Context, *node) (R, error)) (R, error) {
	var none R
	to := l.mesh.nodeAt(l.address)
	if to == nil {
		return none, errRefused
	}
	if err := l.cross(ctx, to, request); err != nil {
		return none, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(to.life, cancel)()
	response, err := serve(ctx, to)
	if err != nil {
		return none, err
	}
	return response, l.cross(ctx, to, response)
}

// cross moves one message over the link. A message into a partition is lost,
// so that the caller waits until its timeout.
func (l *link) cross(ctx context.Context, to *node, message proto.Message) error {
	delay := localDelay
	if l.from.self.Domain != to.self.Domain {
		delay = remoteDelay
	}
	_ = clock.Wait(ctx, l.mesh.clock, delay)
	switch {
	case !l.from.alive() || !to.alive():
		return errRefused
	case l.mesh.partitioned(l.from.self.Domain, to.self.Domain):
		<-ctx.Done()
		return ctx.Err()
	}
	l.mesh.countBytes(l.from, to, proto.Size(message)+overheadBytes)
	return ctx.Err()
}

func (m *mesh) partitioned(a, b model.FailureDomain) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a != b && (m.cut[a] || m.cut[b])
}
