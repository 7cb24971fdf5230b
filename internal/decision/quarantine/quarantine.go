// Package quarantine decides what happens to a request that was running when a
// backend server crashed. After one crash it is a suspect: it runs alone and only
// at one designated server that it has not crashed yet. After a crash of a second
// server it is refused everywhere until its record expires. The package does no
// I/O and reads no clock; the current time is an argument, and tables are
// immutable values.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// Duration is the lifetime of a record after its latest crash.
	Duration = 10 * time.Minute
	// crashLimit is the number of crashed servers that quarantines a request.
	crashLimit = 2
	// maxSuspects is the maximum number of records on one node; those that expire
	// first are evicted first.
	maxSuspects = 1024
)

// Crash identifies one crash of one instance.
type Crash struct {
	Instance model.InstanceID
	// Time is when the instance's node detected the crash, in milliseconds since the
	// Unix epoch. It distinguishes the crashes of one instance.
	Time int64
}

// compare orders crashes by instance, then by time.
func (c Crash) compare(other Crash) int {
	return cmp.Or(cmp.Compare(c.Instance, other.Instance), cmp.Compare(c.Time, other.Time))
}

// Suspect is the record of one fingerprint. Merging records is commutative,
// associative and idempotent, so nodes converge in whatever order and however
// often records arrive.
type Suspect struct {
	Fingerprint Fingerprint
	// Crashes are the crashes during which the request ran, sorted and without
	// duplicates.
	Crashes []Crash
	// Cleared are the crashes after which the request ran without a further crash,
	// sorted and without duplicates. They no longer count.
	Cleared []Crash
	// Expires is the time from which the record no longer applies.
	Expires time.Time
}

// Crashed returns the instances that have crashes which are not cleared, sorted.
func (s Suspect) Crashed() []model.InstanceID {
	var out []model.InstanceID
	for _, c := range s.Crashes {
		if !slices.Contains(s.Cleared, c) {
			out = append(out, c.Instance)
		}
	}
	return slices.Compact(out)
}

// Quarantined reports whether the request has crashed so many servers that it
// is refused everywhere.
func (s Suspect) Quarantined() bool { return len(s.Crashed()) >= crashLimit }

// Merge combines two records of one fingerprint.
func Merge(a, b Suspect) Suspect {
	expires := a.Expires
	if b.Expires.After(expires) {
		expires = b.Expires
	}
	return Suspect{
		Fingerprint: a.Fingerprint,
		Crashes:     union(a.Crashes, b.Crashes),
		Cleared:     union(a.Cleared, b.Cleared),
		Expires:     expires,
	}
}

// union returns the crashes of a and b, sorted and without duplicates.
func union(a, b []Crash) []Crash {
	all := slices.Concat(a, b)
	slices.SortFunc(all, Crash.compare)
	return slices.Compact(all)
}

// Table is an immutable set of records by fingerprint. The zero value is empty.
type Table struct{ records map[Fingerprint]Suspect }

// Len returns the number of records, including expired ones.
func (t Table) Len() int { return len(t.records) }

// Suspects returns the unexpired records, sorted by fingerprint.
func (t Table) Suspects(now time.Time) []Suspect {
	var out []Suspect
	for _, r := range t.records {
		if r.Expires.After(now) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}

// Changes lists the requests whose state an update of a table has changed.
type Changes struct {
	// Suspected and Quarantined are newly so; Ended are no longer either, because
	// their record has expired or their crashes are cleared.
	Suspected, Quarantined, Ended []Fingerprint
}

// Add returns a copy of the table with the suspects merged in and expired records
// removed. A received expiry is limited to Duration from now, so that no record lasts
// longer. Expired suspects and suspects without crashes are ignored.
func (t Table) Add(in []Suspect, now time.Time) (Table, Changes) {
	next, changes := t.Expire(now)
	for _, s := range in {
		if !s.Expires.After(now) || len(s.Crashes) == 0 {
			continue
		}
		if limit := now.Add(Duration); s.Expires.After(limit) {
			s.Expires = limit
		}
		next.merge(s, &changes)
	}
	next.evict()
	return next, changes
}

// merge merges a suspect into the table in place and records the change of its state.
func (t Table) merge(s Suspect, changes *Changes) {
	old := t.records[s.Fingerprint]
	merged := Merge(s, old)
	t.records[s.Fingerprint] = merged
	before, after := len(old.Crashed()), len(merged.Crashed())
	switch {
	case before < crashLimit && after >= crashLimit:
		changes.Quarantined = append(changes.Quarantined, s.Fingerprint)
	case before == 0 && after > 0:
		changes.Suspected = append(changes.Suspected, s.Fingerprint)
	case before > 0 && after == 0:
		changes.Ended = append(changes.Ended, s.Fingerprint)
	}
}

// evict removes the records that expire first until at most maxSuspects are left.
func (t Table) evict() {
	for len(t.records) > maxSuspects {
		var first Suspect
		for _, r := range t.records {
			if first.Crashes == nil || r.Expires.Before(first.Expires) {
				first = r
			}
		}
		delete(t.records, first.Fingerprint)
	}
}

// Expire returns a copy of the table without expired records.
func (t Table) Expire(now time.Time) (Table, Changes) {
	next := Table{records: maps.Clone(t.records)}
	if next.records == nil {
		next.records = make(map[Fingerprint]Suspect)
	}
	var changes Changes
	for f, r := range next.records {
		if !r.Expires.After(now) {
			delete(next.records, f)
			changes.Ended = append(changes.Ended, f)
		}
	}
	return next, changes
}

// Verdict is the decision on one request.
type Verdict uint8

const (
	// Clear means that the request is not a suspect.
	Clear Verdict = iota
	// RunAlone means that this server is the designated one, which runs the request
	// while no other request runs.
	RunAlone
	// RunElsewhere means that this server must not run the request: another one is
	// designated, or none is left.
	RunElsewhere
	// Quarantined means that the request is refused everywhere.
	Quarantined
)

// Decision is the verdict on one request. Suspect is the record that it is based
// on, except for Clear.
type Decision struct {
	Verdict Verdict
	Suspect Suspect
}

// Cleared returns the record to add after the suspect has run without a crash. It
// clears only the crashes that were known at the time of the decision.
func (d Decision) Cleared() Suspect {
	s := d.Suspect
	s.Cleared = s.Crashes
	return s
}

// Decide returns the verdict on a request at the server self. members are those of
// its service.
func (t Table) Decide(f Fingerprint, self model.InstanceID, members []model.Member, now time.Time) Decision {
	r, ok := t.records[f]
	if !ok || !r.Expires.After(now) {
		return Decision{Verdict: Clear}
	}
	crashed := r.Crashed()
	d := Decision{Verdict: RunElsewhere, Suspect: r}
	switch {
	case len(crashed) == 0:
		return Decision{Verdict: Clear}
	case len(crashed) >= crashLimit:
		d.Verdict = Quarantined
	case slices.Contains(crashed, self):
	case Designated(f, crashed, self, members) == self:
		d.Verdict = RunAlone
	}
	return d
}

// Designated returns, by rendezvous hashing of f, one of the present members that
// are not among crashed. self always counts as a candidate.
func Designated(f Fingerprint, crashed []model.InstanceID, self model.InstanceID, members []model.Member) model.InstanceID {
	best, bestHash := self, hashInstance(f, self)
	for _, m := range members {
		if m.ID == self || !m.Present() || slices.Contains(crashed, m.ID) {
			continue
		}
		if h := hashInstance(f, m.ID); h > bestHash || h == bestHash && m.ID < best {
			best, bestHash = m.ID, h
		}
	}
	return best
}

func hashInstance(f Fingerprint, id model.InstanceID) uint64 {
	return hashStrings(strconv.FormatUint(uint64(f), 16), string(id))
}
