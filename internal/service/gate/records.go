package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/dedupe"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// handOverTimeout bounds the handover of all records, and the exchange of
	// records with other gates.
	handOverTimeout = 2 * time.Second
	// handOverBatchSize is the maximum number of records in one call.
	handOverBatchSize = 1000
	// recordsTimeout is the time after which a new gate runs requests with
	// idempotency keys even if it has not fetched the records of its peers.
	recordsTimeout = 5 * time.Second
	// maxNewMembers is the capacity of the queue of new members that wait for
	// records.
	maxNewMembers = 64
)

// handleMembersChanged applies the listing of this node's backend server and queues
// the new members of the service for an exchange of records.
func (s *Service) handleMembersChanged(m control.MembersChanged) {
	if slices.ContainsFunc(m.Changed, s.isOwn) {
		s.applyListing()
	}
	for _, member := range m.Changed {
		if member.Service != s.self.Service || s.isOwn(member) || !member.Present() {
			continue
		}
		incarnation := member.Announced.Incarnation
		if known, ok := s.knownMembers[member.ID]; ok && known == incarnation {
			continue
		}
		s.knownMembers[member.ID] = incarnation
		select {
		case s.newMembers <- member:
		default:
			s.log.Warn("queue of new members waiting for idempotency records is full, member skipped", "member", member.ID)
		}
	}
}

// handleRefreshed triggers fetching the records of the other gates.
func (s *Service) handleRefreshed(control.Refreshed) {
	select {
	case s.refreshed <- struct{}{}:
	default:
	}
}

// exchangeRecords exchanges records with new members and fetches those that this
// gate should have, until the context ends.
func (s *Service) exchangeRecords(ctx context.Context) {
	timer := s.clock.AfterFunc(recordsTimeout, func() { s.recordsKnown.Store(true) })
	defer timer.Stop()
	for {
		select {
		case <-s.refreshed:
			s.fetchRecords(ctx)
			s.recordsKnown.Store(true)
		case member := <-s.newMembers:
			s.exchangeWith(ctx, member)
		case <-ctx.Done():
			return
		}
	}
}

// fetchRecords fetches records from all other gates of the service concurrently.
func (s *Service) fetchRecords(ctx context.Context) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, handOverTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range s.withoutSelf(s.presentMembers()) {
		group.Go(func() { s.fetchRecordsFrom(ctx, m) })
	}
	group.Wait()
}

func (s *Service) fetchRecordsFrom(ctx context.Context, m model.Member) {
	records, err := s.peers.fetchRecords(ctx, m.Addresses.Traffic, s.self.ID)
	if err != nil {
		s.log.Warn("failed to fetch idempotency records from peer", "peer", m.ID, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.memory.Record(r, s.clock.Now())
	}
}

// exchangeWith exchanges records with a member that this gate did not know, because
// one of the two is new.
func (s *Service) exchangeWith(ctx context.Context, m model.Member) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, handOverTimeout)
	defer cancel()
	s.fetchRecordsFrom(ctx, m)
	s.sendRecords(ctx, m.Addresses.Traffic, s.recordsFor(m.ID))
}

// recordsFor returns the records that a member should have.
func (s *Service) recordsFor(m model.InstanceID) []dedupe.KeyRecord {
	present := s.presentMembers()
	return slices.DeleteFunc(s.records(), func(r dedupe.KeyRecord) bool {
		return !dedupe.NeedsRecord(r.Key.Value, m, present)
	})
}

// handOver sends the records of this gate to the members that will hold their
// replicas after it has left.
func (s *Service) handOver(ctx context.Context) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, handOverTimeout)
	defer cancel()
	others := s.withoutSelf(s.presentMembers())
	byAddress := make(map[string][]dedupe.KeyRecord)
	for _, r := range s.records() {
		for _, m := range dedupe.ReplicaMembers(r.Key.Value, others) {
			byAddress[m.Addresses.Traffic] = append(byAddress[m.Addresses.Traffic], r)
		}
	}
	for address, list := range byAddress {
		s.sendRecords(ctx, address, list)
	}
}

func (s *Service) sendRecords(ctx context.Context, address string, records []dedupe.KeyRecord) {
	for batch := range slices.Chunk(records, handOverBatchSize) {
		if err := s.peers.handOver(ctx, address, batch); err != nil {
			s.log.Warn("failed to hand over idempotency records to peer", "peer", address, "error", err)
			return
		}
	}
}

func (s *Service) records() []dedupe.KeyRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.KeyRecords(s.runner())
}
