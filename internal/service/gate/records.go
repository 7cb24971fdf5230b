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
	// handOverTimeout bounds the handing over of all records, and the wait of a
	// fresh gate for those of the others.
	handOverTimeout = 2 * time.Second
	// handOverBatch is the number of records in one call.
	handOverBatch = 1000
	// recordsTimeout is when a gate runs keyed requests although no peer was
	// heard.
	recordsTimeout = 5 * time.Second
	// joinedCapacity bounds the new members that wait for records.
	joinedCapacity = 64
)

// handleMembersChanged notes what the list says of this gate's own server, and
// new members of the service, so that they get the records that concern them.
func (s *Service) handleMembersChanged(m control.MembersChanged) {
	if slices.ContainsFunc(m.Changed, s.isOwn) {
		s.applyListing()
	}
	for _, member := range m.Changed {
		if member.Service != s.self.Service || s.isOwn(member) || !member.Present() {
			continue
		}
		incarnation := member.Announced.Incarnation
		if known, ok := s.met[member.ID]; ok && known == incarnation {
			continue
		}
		s.met[member.ID] = incarnation
		select {
		case s.joined <- member:
		default:
			s.log.Warn("too many new members wait for records", "member", member.ID)
		}
	}
}

// handleRefreshed asks for the records of the other gates.
func (s *Service) handleRefreshed(control.Refreshed) {
	select {
	case s.refreshed <- struct{}{}:
	default:
	}
}

// exchangeRecords brings records to new members and fetches those that concern
// this gate, until the context ends.
func (s *Service) exchangeRecords(ctx context.Context) {
	timer := s.clock.AfterFunc(recordsTimeout, func() { s.recordsKnown.Store(true) })
	defer timer.Stop()
	for {
		select {
		case <-s.refreshed:
			s.fetchRecords(ctx)
			s.recordsKnown.Store(true)
		case member := <-s.joined:
			s.meet(ctx, member)
		case <-ctx.Done():
			return
		}
	}
}

// fetchRecords asks all other gates of the service at once.
func (s *Service) fetchRecords(ctx context.Context) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, handOverTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range s.withoutSelf(s.present()) {
		group.Go(func() { s.fetchFrom(ctx, m) })
	}
	group.Wait()
}

// fetchFrom asks one gate for the records that concern this one.
func (s *Service) fetchFrom(ctx context.Context, m model.Member) {
	records, err := s.peers.recordsOf(ctx, m.Addresses.Traffic, s.self.ID)
	if err != nil {
		s.log.Warn("records of idempotency keys not fetched", "peer", m.ID, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.memory.Record(r, s.clock.Now())
	}
}

// meet exchanges records with a member that this gate has not known, because
// either of them is new.
func (s *Service) meet(ctx context.Context, m model.Member) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, handOverTimeout)
	defer cancel()
	s.fetchFrom(ctx, m)
	s.sendRecords(ctx, m.Addresses.Traffic, s.recordsFor(m.ID))
}

// recordsFor returns the records that concern a member.
func (s *Service) recordsFor(m model.InstanceID) []dedupe.Copy {
	present := s.present()
	return slices.DeleteFunc(s.records(), func(c dedupe.Copy) bool {
		return !dedupe.NeedsRecord(c.Key.Value, m, present)
	})
}

// handOver sends the records of this gate to the members that keep them once it
// is gone.
func (s *Service) handOver(ctx context.Context) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, handOverTimeout)
	defer cancel()
	others := s.withoutSelf(s.present())
	byAddress := make(map[string][]dedupe.Copy)
	for _, r := range s.records() {
		for _, m := range dedupe.Keepers(r.Key.Value, others) {
			byAddress[m.Addresses.Traffic] = append(byAddress[m.Addresses.Traffic], r)
		}
	}
	for address, list := range byAddress {
		s.sendRecords(ctx, address, list)
	}
}

func (s *Service) sendRecords(ctx context.Context, address string, records []dedupe.Copy) {
	for batch := range slices.Chunk(records, handOverBatch) {
		if err := s.peers.handOver(ctx, address, batch); err != nil {
			s.log.Warn("records of idempotency keys not handed over", "peer", address, "error", err)
			return
		}
	}
}

func (s *Service) records() []dedupe.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Copies(s.runner())
}
