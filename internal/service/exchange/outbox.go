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
	// flushTimeout bounds how long a stopping node waits until its queued
	// announcements are sent.
	flushTimeout = time.Second
	// batchDelay is how long the outbox collects records for a batch.
	batchDelay = 20 * time.Millisecond
)

// outbox sends announcements. Each target with queued records has one goroutine, which
// sends all of them in one batch. It is safe for concurrent use.
type outbox struct {
	service *Service
	mu      sync.Mutex
	// ctx is nil before start and closed is true after flush; add drops records in
	// both cases.
	ctx    context.Context
	closed bool
	// queued holds the next batch of each target, by target name.
	queued map[string]*batch
	// sending holds the names of the targets that have a goroutine.
	sending map[string]bool
	senders sync.WaitGroup
}

// batch holds the queued records of one target, the newest one of each instance.
type batch struct {
	candidates []model.Member
	records    map[model.InstanceID]model.Member
	// attempt is the lowest attempt number among the records.
	attempt int
}

func newOutbox(s *Service) *outbox {
	return &outbox{service: s, queued: make(map[string]*batch), sending: make(map[string]bool)}
}

// start enables sending until the context ends.
func (o *outbox) start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
}

// add queues a record for a target. The candidates replace those of the records that are
// already queued. It does not block, so the control loop may call it.
func (o *outbox) add(target rank.Target, attempt int, record model.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx == nil || o.closed {
		return
	}
	b := o.queued[target.Name]
	if b == nil {
		b = &batch{records: make(map[model.InstanceID]model.Member), attempt: attempt}
		o.queued[target.Name] = b
	}
	b.candidates = target.Candidates
	b.attempt = min(b.attempt, attempt)
	b.records[record.ID] = record
	if !o.sending[target.Name] {
		o.sending[target.Name] = true
		o.senders.Go(func() { o.drain(target.Name) })
	}
}

// drain sends the batches of one target until none is queued.
func (o *outbox) drain(target string) {
	for {
		_ = clock.Wait(o.ctx, o.service.clock, batchDelay)
		b := o.takeBatch(target)
		if b == nil {
			return
		}
		o.deliver(target, b)
	}
}

// takeBatch removes and returns the queued batch of a target, or returns nil if there is
// none; the goroutine of the target must then end.
func (o *outbox) takeBatch(target string) *batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.queued[target]
	delete(o.queued, target)
	if b == nil {
		delete(o.sending, target)
	}
	return b
}

// deliver sends a batch to the first candidate that accepts it. If none does, it
// posts the records to the control loop as undelivered.
func (o *outbox) deliver(target string, b *batch) {
	s := o.service
	failed := undelivered{target: target, attempt: b.attempt}
	for _, record := range b.records {
		failed.members = append(failed.members, record)
	}
	request := &wire.AnnounceRequest{
		Node:    string(s.config.Self.ID),
		Members: wireconv.MembersToWire(failed.members),
	}
	for _, candidate := range b.candidates {
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

// flush closes the outbox and waits until all queued records are sent, at most
// for flushTimeout.
func (o *outbox) flush(ctx context.Context) {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	ctx, cancel := clock.WithTimeout(ctx, o.service.clock, flushTimeout)
	defer cancel()
	idle := make(chan struct{})
	go func() {
		o.senders.Wait()
		close(idle)
	}()
	_ = kernel.Await(ctx, idle)
}
