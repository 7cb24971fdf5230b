package dedupe

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// keepers is the number of members that keep a record of each idempotency
	// key.
	keepers = 2
	// concerned is the number of members, by rank, that a record is sent to when
	// one of them is new. It exceeds keepers, since some of them may be gone.
	concerned = 4
)

// Runner is the gate process that runs a request.
type Runner struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
}

// Copy is the record of a request that another gate runs or has run.
type Copy struct {
	Key    Key
	Runner Runner
}

// Keepers returns the members that keep the record of an idempotency key: those
// that rank highest for it among the present ones, whoever runs the request.
// When one member comes or goes, one of the keepers stays, and it knows the key.
func Keepers(key string, present []model.Member) []model.Member {
	return highest(key, present, keepers)
}

// NeedsRecord reports whether a new member must know a key. The present members may
// include the new one.
func NeedsRecord(key string, m model.InstanceID, present []model.Member) bool {
	if !slices.ContainsFunc(present, func(p model.Member) bool { return p.ID == m }) {
		present = append(slices.Clip(present), model.Member{ID: m})
	}
	return slices.ContainsFunc(highest(key, present, concerned), func(p model.Member) bool { return p.ID == m })
}

// highest returns the n members that rank highest for a key.
func highest(key string, members []model.Member, n int) []model.Member {
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

// Recorded is the result of recording a copy.
type Recorded uint8

const (
	// RecordedNew means that the key was not known.
	RecordedNew Recorded = iota
	// RecordedKnown means that this or another gate has run the request or may
	// have.
	RecordedKnown
	// NotRecorded means that there is no room.
	NotRecorded
)

// Knows reports whether this gate, or another one than the runner, has run the
// request or may have.
func (m *Memory) Knows(c Copy, now time.Time) bool {
	m.expire(now)
	e, ok := m.byKey[c.Key]
	return ok && (e.state != stateElsewhere || e.runner != c.Runner)
}

// Record keeps a copy for the window.
func (m *Memory) Record(c Copy, now time.Time) Recorded {
	if m.Knows(c, now) {
		return RecordedKnown
	}
	if _, ok := m.byKey[c.Key]; ok {
		return RecordedNew
	}
	if !m.makeRoom() {
		return NotRecorded
	}
	e := &Entry{keys: []Key{c.Key}, state: stateElsewhere, runner: c.Runner, finished: now}
	e.position = m.finished.PushBack(e)
	m.byKey[c.Key] = e
	m.entries++
	return RecordedNew
}

// Drop removes the copy of a request that its runner did not run.
func (m *Memory) Drop(c Copy) {
	if e, ok := m.byKey[c.Key]; ok && e.state == stateElsewhere && e.runner == c.Runner {
		m.forget(e)
	}
}

// Copies returns the records of all idempotency keys, for a gate that leaves.
// Its own requests name it as the runner.
func (m *Memory) Copies(self Runner) []Copy {
	var out []Copy
	for k, e := range m.byKey {
		if k.Route == "" {
			continue
		}
		runner := e.runner
		if e.state != stateElsewhere {
			runner = self
		}
		out = append(out, Copy{Key: k, Runner: runner})
	}
	return out
}
