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
	// peerIdle is the time after which an unused connection to a gate is closed.
	peerIdle = 30 * time.Second
	// peerConnections bounds the connections to one gate.
	peerConnections = 8
	// maxPeerCall bounds a call of another gate, in bytes.
	maxPeerCall = 4 << 20
)

// peerClient calls other gates.
type peerClient struct{ http *http.Client }

func newPeerClient() *peerClient {
	return &peerClient{http: &http.Client{Transport: &http.Transport{
		IdleConnTimeout:     peerIdle,
		MaxIdleConnsPerHost: peerConnections,
		MaxConnsPerHost:     peerConnections,
	}}}
}

func (p *peerClient) gateAt(address string) wire.Gate {
	return wire.NewGateProtobufClient("http://"+address, p.http)
}

// recordAt records a key at all keepers at once. It reports whether one of them
// knows it, and which ones failed.
func (p *peerClient) recordAt(ctx context.Context, clk clock.Clock, keepers []model.Member, c dedupe.Copy) (known bool, failed []model.Member) {
	ctx, cancel := clock.WithTimeout(ctx, clk, copyTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, keeper := range keepers {
		group.Go(func() {
			answer, err := p.gateAt(keeper.Addresses.Traffic).Remember(ctx, &wire.RememberRequest{Record: encodeCopy(c)})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, keeper)
				return
			}
			known = known || answer.Known
		})
	}
	group.Wait()
	return known, failed
}

// dropAt tells all keepers at once that a request did not run. A keeper that
// misses it refuses the key as one that may have run, which is safe.
func (p *peerClient) dropAt(ctx context.Context, clk clock.Clock, keepers []model.Member, c dedupe.Copy) {
	ctx, cancel := clock.WithTimeout(ctx, clk, copyTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, keeper := range keepers {
		group.Go(func() {
			_, _ = p.gateAt(keeper.Addresses.Traffic).Forget(ctx, &wire.ForgetRequest{Record: encodeCopy(c)})
		})
	}
	group.Wait()
}

func (p *peerClient) handOver(ctx context.Context, address string, copies []dedupe.Copy) error {
	request := &wire.HandOverRequest{}
	for _, c := range copies {
		request.Records = append(request.Records, encodeCopy(c))
	}
	_, err := p.gateAt(address).HandOver(ctx, request)
	return eris.Wrapf(err, "handing over to %s", address)
}

// recordsOf asks a gate for the records that concern an instance.
func (p *peerClient) recordsOf(ctx context.Context, address string, instance model.InstanceID) ([]dedupe.Copy, error) {
	answer, err := p.gateAt(address).Records(ctx, &wire.RecordsRequest{Instance: string(instance)})
	if err != nil {
		return nil, eris.Wrapf(err, "asking %s", address)
	}
	var out []dedupe.Copy
	for _, r := range answer.GetRecords() {
		out = append(out, decodeCopy(r))
	}
	return out, nil
}

func encodeCopy(c dedupe.Copy) *wire.KeyRecord {
	return &wire.KeyRecord{
		Route:       c.Key.Route,
		Key:         c.Key.Value,
		Runner:      string(c.Runner.Instance),
		Incarnation: uint64(c.Runner.Incarnation),
	}
}

func decodeCopy(r *wire.KeyRecord) dedupe.Copy {
	return dedupe.Copy{
		Key:    dedupe.Key{Route: r.GetRoute(), Value: r.GetKey()},
		Runner: dedupe.Runner{Instance: model.InstanceID(r.GetRunner()), Incarnation: model.Incarnation(r.GetIncarnation())},
	}
}

// keeper serves the calls of other gates.
type keeper struct{ gate *Service }

// Remember implements wire.Gate.
func (k keeper) Remember(_ context.Context, r *wire.RememberRequest) (*wire.RememberResponse, error) {
	switch k.record(r.GetRecord()) {
	case dedupe.RecordedKnown:
		return &wire.RememberResponse{Known: true}, nil
	case dedupe.NotRecorded:
		return nil, twirp.NewError(twirp.ResourceExhausted, "no room for the record")
	default:
		return &wire.RememberResponse{}, nil
	}
}

// Forget implements wire.Gate.
func (k keeper) Forget(_ context.Context, r *wire.ForgetRequest) (*wire.ForgetResponse, error) {
	k.gate.mu.Lock()
	defer k.gate.mu.Unlock()
	k.gate.memory.Drop(decodeCopy(r.GetRecord()))
	return &wire.ForgetResponse{}, nil
}

// Records implements wire.Gate.
func (k keeper) Records(_ context.Context, r *wire.RecordsRequest) (*wire.RecordsResponse, error) {
	response := &wire.RecordsResponse{}
	for _, c := range k.gate.recordsFor(model.InstanceID(r.GetInstance())) {
		response.Records = append(response.Records, encodeCopy(c))
	}
	return response, nil
}

// HandOver implements wire.Gate.
func (k keeper) HandOver(_ context.Context, r *wire.HandOverRequest) (*wire.HandOverResponse, error) {
	for _, record := range r.GetRecords() {
		k.record(record)
	}
	return &wire.HandOverResponse{}, nil
}

// record keeps a copy. A gate that leaves keeps no new ones, so that the runner
// turns to the next keeper.
func (k keeper) record(r *wire.KeyRecord) dedupe.Recorded {
	k.gate.mu.Lock()
	defer k.gate.mu.Unlock()
	c, now := decodeCopy(r), k.gate.clock.Now()
	if !k.gate.leaving.Load() {
		return k.gate.memory.Record(c, now)
	}
	if k.gate.memory.Knows(c, now) {
		return dedupe.RecordedKnown
	}
	return dedupe.NotRecorded
}
