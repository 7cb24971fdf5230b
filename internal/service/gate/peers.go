package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

const (
	// peerIdleTimeout is the time after which an unused connection to a gate is
	// closed.
	peerIdleTimeout = 30 * time.Second
	// maxPeerConnections is the maximum number of connections to one gate.
	maxPeerConnections = 8
	// maxPeerRequestBytes is the maximum size of the body of a call from another
	// gate.
	maxPeerRequestBytes = 4 << 20
)

// peerClient calls other gates.
type peerClient struct{ http *http.Client }

func newPeerClient() *peerClient {
	return &peerClient{http: &http.Client{Transport: &http.Transport{
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConnsPerHost: maxPeerConnections,
		MaxConnsPerHost:     maxPeerConnections,
	}}}
}

func (p *peerClient) gateAt(address string) wire.Gate {
	return wire.NewGateProtobufClient("http://"+address, p.http)
}

// recordAtKeepers records a key at all keepers concurrently. It reports whether one
// of them already knew the key, and returns those that failed.
func (p *peerClient) recordAtKeepers(ctx context.Context, clk clock.Clock, keepers []model.Member, c dedupe.KeyRecord) (known bool, failed []model.Member) {
	ctx, cancel := clock.WithTimeout(ctx, clk, keeperTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, keeper := range keepers {
		group.Go(func() {
			response, err := p.gateAt(keeper.Addresses.Traffic).Remember(ctx, &wire.RememberRequest{Record: encodeCopy(c)})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, keeper)
				return
			}
			known = known || response.Known
		})
	}
	group.Wait()
	return known, failed
}

// dropAtKeepers tells all keepers concurrently that a request did not run. A keeper
// that is not reached goes on refusing the key as one that may have run, which is
// safe.
func (p *peerClient) dropAtKeepers(ctx context.Context, clk clock.Clock, keepers []model.Member, c dedupe.KeyRecord) {
	ctx, cancel := clock.WithTimeout(ctx, clk, keeperTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, keeper := range keepers {
		group.Go(func() {
			_, _ = p.gateAt(keeper.Addresses.Traffic).Forget(ctx, &wire.ForgetRequest{Record: encodeCopy(c)})
		})
	}
	group.Wait()
}

func (p *peerClient) handOver(ctx context.Context, address string, copies []dedupe.KeyRecord) error {
	request := &wire.HandOverRequest{}
	for _, c := range copies {
		request.Records = append(request.Records, encodeCopy(c))
	}
	_, err := p.gateAt(address).HandOver(ctx, request)
	return eris.Wrapf(err, "handing over idempotency records to %s", address)
}

// fetchRecords requests from a gate the records that an instance should have.
func (p *peerClient) fetchRecords(ctx context.Context, address string, instance model.InstanceID) ([]dedupe.KeyRecord, error) {
	response, err := p.gateAt(address).Records(ctx, &wire.RecordsRequest{Instance: string(instance)})
	if err != nil {
		return nil, eris.Wrapf(err, "fetching idempotency records from %s", address)
	}
	var out []dedupe.KeyRecord
	for _, r := range response.GetRecords() {
		out = append(out, decodeCopy(r))
	}
	return out, nil
}

func encodeCopy(c dedupe.KeyRecord) *wire.KeyRecord {
	return &wire.KeyRecord{
		Route:       c.Key.Route,
		Key:         c.Key.Value,
		Runner:      string(c.Runner.Instance),
		Incarnation: uint64(c.Runner.Incarnation),
	}
}

func decodeCopy(r *wire.KeyRecord) dedupe.KeyRecord {
	return dedupe.KeyRecord{
		Key:    dedupe.Key{Route: r.GetRoute(), Value: r.GetKey()},
		Runner: dedupe.Runner{Instance: model.InstanceID(r.GetRunner()), Incarnation: model.Incarnation(r.GetIncarnation())},
	}
}

// gateServer implements wire.Gate, the calls from other gates.
type gateServer struct{ gate *Service }

// Remember implements wire.Gate.
func (g gateServer) Remember(_ context.Context, r *wire.RememberRequest) (*wire.RememberResponse, error) {
	switch g.record(r.GetRecord()) {
	case dedupe.RecordedKnown:
		return &wire.RememberResponse{Known: true}, nil
	case dedupe.NotRecorded:
		return nil, twirp.NewError(twirp.ResourceExhausted, "no room for the record")
	default:
		return &wire.RememberResponse{}, nil
	}
}

// Forget implements wire.Gate.
func (g gateServer) Forget(_ context.Context, r *wire.ForgetRequest) (*wire.ForgetResponse, error) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	g.gate.memory.Drop(decodeCopy(r.GetRecord()))
	return &wire.ForgetResponse{}, nil
}

// Records implements wire.Gate.
func (g gateServer) Records(_ context.Context, r *wire.RecordsRequest) (*wire.RecordsResponse, error) {
	response := &wire.RecordsResponse{}
	for _, c := range g.gate.recordsFor(model.InstanceID(r.GetInstance())) {
		response.Records = append(response.Records, encodeCopy(c))
	}
	return response, nil
}

// HandOver implements wire.Gate.
func (g gateServer) HandOver(_ context.Context, r *wire.HandOverRequest) (*wire.HandOverResponse, error) {
	for _, record := range r.GetRecords() {
		g.record(record)
	}
	return &wire.HandOverResponse{}, nil
}

// record stores a copy. A leaving gate stores no new ones, so that the runner uses
// the next keeper instead.
func (g gateServer) record(r *wire.KeyRecord) dedupe.Recorded {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	c, now := decodeCopy(r), g.gate.clock.Now()
	if !g.gate.leaving.Load() {
		return g.gate.memory.Record(c, now)
	}
	if g.gate.memory.Knows(c, now) {
		return dedupe.RecordedKnown
	}
	return dedupe.NotRecorded
}
