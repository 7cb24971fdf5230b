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
	"github.com/galenalever/galenalever/internal/httpclient"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

const (
	// peerIdleTimeout is the time after which an unused connection to a gate is
	// closed.
	peerIdleTimeout = 30 * time.Second
	// maxPeerConnections is the maximum number of connections to one gate.
	maxPeerConnections = 8
	// maxPeerRequestBytes is the maximum size, in bytes, of the body of a call from
	// another gate.
	maxPeerRequestBytes = 4 << 20
	// maxPeerResponseBytes is the maximum size, in bytes, of a gate's response.
	maxPeerResponseBytes = 16 << 20
)

// peerClient calls other gates.
type peerClient struct{ http *http.Client }

func newPeerClient() *peerClient {
	return &peerClient{http: &http.Client{Transport: &http.Transport{
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConnsPerHost: maxPeerConnections,
		MaxConnsPerHost:     maxPeerConnections,

		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
	}}}
}

func (p *peerClient) gateAt(address string) wire.Gate {
	return wire.NewGateProtobufClient("http://"+address, httpclient.Bounded{Client: p.http, MaxBytes: maxPeerResponseBytes})
}

// recordAtReplicas stores a record at all replica members concurrently. It reports
// whether one of them already knew the key, and returns those that failed.
func (p *peerClient) recordAtReplicas(ctx context.Context, clk clock.Clock, replicas []model.Member, record dedupe.KeyRecord) (known bool, failed []model.Member) {
	ctx, cancel := clock.WithTimeout(ctx, clk, replicaTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, replica := range replicas {
		group.Go(func() {
			response, err := p.gateAt(replica.Addresses.Traffic).Remember(ctx, &wire.RememberRequest{Record: encodeRecord(record)})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, replica)
				return
			}
			known = known || response.Known
		})
	}
	group.Wait()
	return known, failed
}

// dropAtReplicas notifies all replica members concurrently that a request did not
// run. A member that is not reached continues to refuse the key as one that may have
// run, which is safe.
func (p *peerClient) dropAtReplicas(ctx context.Context, clk clock.Clock, replicas []model.Member, record dedupe.KeyRecord) {
	ctx, cancel := clock.WithTimeout(ctx, clk, replicaTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, replica := range replicas {
		group.Go(func() {
			_, _ = p.gateAt(replica.Addresses.Traffic).Forget(ctx, &wire.ForgetRequest{Record: encodeRecord(record)})
		})
	}
	group.Wait()
}

func (p *peerClient) handOver(ctx context.Context, address string, records []dedupe.KeyRecord) error {
	request := &wire.HandOverRequest{}
	for _, record := range records {
		request.Records = append(request.Records, encodeRecord(record))
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
		out = append(out, decodeRecord(r))
	}
	return out, nil
}

func encodeRecord(record dedupe.KeyRecord) *wire.KeyRecord {
	return &wire.KeyRecord{
		Route:       record.Key.Route,
		Key:         record.Key.Value,
		Runner:      string(record.Runner.Instance),
		Incarnation: uint64(record.Runner.Incarnation),
	}
}

func decodeRecord(r *wire.KeyRecord) dedupe.KeyRecord {
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
	g.gate.memory.Drop(decodeRecord(r.GetRecord()))
	return &wire.ForgetResponse{}, nil
}

// Records implements wire.Gate.
func (g gateServer) Records(_ context.Context, r *wire.RecordsRequest) (*wire.RecordsResponse, error) {
	response := &wire.RecordsResponse{}
	for _, record := range g.gate.recordsFor(model.InstanceID(r.GetInstance())) {
		response.Records = append(response.Records, encodeRecord(record))
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

// record stores a record. A leaving gate stores no new ones, so that the runner uses
// the next member in rank instead.
func (g gateServer) record(r *wire.KeyRecord) dedupe.Recorded {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	record, now := decodeRecord(r), g.gate.clock.Now()
	if !g.gate.leaving.Load() {
		return g.gate.memory.Record(record, now)
	}
	if g.gate.memory.Knows(record, now) {
		return dedupe.RecordedKnown
	}
	return dedupe.NotRecorded
}
