package dedupe

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// replicationFactor is the number of members that hold a replica of the record
	// of each idempotency key.
	replicationFactor = 2
	// recordCandidates is the number of highest-ranked members that receive the
	// records of a key when they join. It exceeds replicationFactor, since some of
	// the higher-ranked ones may have left.
	recordCandidates = 4
)

// Runner identifies the gate process that runs a request.
type Runner struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
}

// KeyRecord is the replicated record of the idempotency key of a request that a gate
// runs or has run.
type KeyRecord struct {
	Key    Key
	Runner Runner
}

// ReplicaMembers returns the members that hold a replica of the record of an
// idempotency key: the highest-ranked present members by rendezvous hashing of the
// key, whichever gate runs the request. When one member joins or leaves, at least
// one of them stays the same and has the record.
func ReplicaMembers(key string, present []model.Member) []model.Member {
	return highestRanked(key, present, replicationFactor)
}

// NeedsRecord reports whether a new member m must receive the record of a key. The
// present members may include m.
func NeedsRecord(key string, m model.InstanceID, present []model.Member) bool {
	if !slices.ContainsFunc(present, func(p model.Member) bool { return p.ID == m }) {
		present = append(slices.Clip(present), model.Member{ID: m})
	}
	return slices.ContainsFunc(highestRanked(key, present, recordCandidates), func(p model.Member) bool { return p.ID == m })
}

// highestRanked returns all members if there are fewer than n.
func highestRanked(key string, members []model.Member, n int) []model.Member {
	var out []model.Member
	taken := make(map[int]bool, n)
	for range n {
		i := balance.Owner(key, len(members),
			func(i int) model.InstanceID { return members[i].ID },
			func(i int) bool { return taken[i] })
		if i < 0 {
			return out
		}
		out = append(out, members[i])
		taken[i] = true
	}
	return out
}

// Recorded is the result of Memory.Record.
type Recorded uint8

const (
	// RecordedNew means that the key is recorded: it was not known, or only from the
	// same runner.
	RecordedNew Recorded = iota
	// RecordedKnown means that this gate, or another one than the runner, has run
	// the request or may have.
	RecordedKnown
	// NotRecorded means that the record was not stored: the memory is full of running
	// requests, or the gate is leaving.
	NotRecorded
)

// Knows reports whether this gate, or another one than the runner, has run the
// request or may have.
func (m *Memory) Knows(record KeyRecord, now time.Time) bool {
	m.expire(now)
	e, ok := m.byKey[record.Key]
	return ok && (e.state != stateElsewhere || e.runner != record.Runner)
}

// Record stores a record, which expires after Bounds.Window.
func (m *Memory) Record(record KeyRecord, now time.Time) Recorded {
	if m.Knows(record, now) {
		return RecordedKnown
	}
	if _, ok := m.byKey[record.Key]; ok {
		return RecordedNew
	}
	if !m.ensureCapacity() {
		return NotRecorded
	}
	e := &Entry{keys: []Key{record.Key}, state: stateElsewhere, runner: record.Runner, finished: now}
	e.finishedElement = m.finished.PushBack(e)
	m.byKey[record.Key] = e
	m.entries++
	return RecordedNew
}

// Drop removes the record of a request that its runner did not run.
func (m *Memory) Drop(record KeyRecord) {
	if e, ok := m.byKey[record.Key]; ok && e.state == stateElsewhere && e.runner == record.Runner {
		m.forget(e)
	}
}

// KeyRecords returns the records of all idempotency keys, to send them to other gates.
// The runner of this gate's own requests is self.
func (m *Memory) KeyRecords(self Runner) []KeyRecord {
	var out []KeyRecord
	for k, e := range m.byKey {
		if k.Route == "" {
			continue
		}
		runner := e.runner
		if e.state != stateElsewhere {
			runner = self
		}
		out = append(out, KeyRecord{Key: k, Runner: runner})
	}
	return out
}
