package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

const (
	// announceTimeout bounds one announcement to one node.
	announceTimeout = 1500 * time.Millisecond
	// flushTimeout bounds how long a stopping node waits for its last
	// announcement.
	flushTimeout = time.Second
	// gatherDelay is how long the outbox gathers records before it sends them.
	gatherDelay = 20 * time.Millisecond
)

// outbox sends announcements: per target one goroutine at a time, which takes
// all records that wait. It is safe for concurrent use.
type outbox struct {
	service *Service
	mu      sync.Mutex
	// ctx is nil before the start and closed is true after flush; no record is
	// taken then.
	ctx     context.Context
	closed  bool
	waiting map[string]*parcel
	busy    map[string]bool
	running sync.WaitGroup
}

// parcel is what waits for one target; of each instance the newest record.
type parcel struct {
	candidates []model.Member
	records    map[model.InstanceID]model.Member
	// attempt is the least attempt of the records.
	attempt int
}

func newOutbox(s *Service) *outbox {
	return &outbox{service: s, waiting: make(map[string]*parcel), busy: make(map[string]bool)}
}

// start lets records be sent until the context ends.
func (o *outbox) start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
}

// add queues a record. It does not block, so the control loop may call it.
func (o *outbox) add(target rank.Target, attempt int, record model.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx == nil || o.closed {
		return
	}
	p := o.waiting[target.Name]
	if p == nil {
		p = &parcel{records: make(map[model.InstanceID]model.Member), attempt: attempt}
		o.waiting[target.Name] = p
	}
	p.candidates = target.Candidates
	p.attempt = min(p.attempt, attempt)
	p.records[record.ID] = record
	if !o.busy[target.Name] {
		o.busy[target.Name] = true
		o.running.Go(func() { o.drain(target.Name) })
	}
}

// drain sends parcels to one target until none waits.
func (o *outbox) drain(name string) {
	for {
		_ = clock.Wait(o.ctx, o.service.clock, gatherDelay)
		p := o.next(name)
		if p == nil {
			return
		}
		o.deliver(name, p)
	}
}

func (o *outbox) next(name string) *parcel {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.waiting[name]
	delete(o.waiting, name)
	if p == nil {
		delete(o.busy, name)
	}
	return p
}

// deliver tries the candidates in turn. If none takes the parcel, the control
// loop decides what to do.
func (o *outbox) deliver(target string, p *parcel) {
	s := o.service
	failed := undelivered{target: target, attempt: p.attempt}
	for _, record := range p.records {
		failed.members = append(failed.members, record)
	}
	request := &wire.AnnounceRequest{
		Node:    string(s.config.Self.ID),
		Members: wireconv.MembersToWire(failed.members),
	}
	for _, candidate := range p.candidates {
		if o.send(candidate, request) == nil {
			return
		}
		failed.tried = append(failed.tried, candidate.ID)
	}
	_ = s.loop.Post(o.ctx, failed)
}

func (o *outbox) send(to model.Member, request *wire.AnnounceRequest) error {
	ctx, cancel := clock.WithTimeout(o.ctx, o.service.clock, announceTimeout)
	defer cancel()
	_, err := o.service.dial(to.Addresses.Control).Announce(ctx, request)
	return err
}

// flush takes no more records and waits until nothing is left to send, for a
// bounded time.
func (o *outbox) flush(ctx context.Context) {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	ctx, cancel := clock.WithTimeout(ctx, o.service.clock, flushTimeout)
	defer cancel()
	idle := make(chan struct{})
	go func() {
		o.running.Wait()
		close(idle)
	}()
	_ = kernel.Await(ctx, idle)
}
