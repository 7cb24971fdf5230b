// Package quarantine decides what happens to a request that was running when a
// backend server crashed. That alone is weak evidence, since all requests that ran
// there have it in common: the request becomes a suspect, which runs alone, at first
// only at one designated server. A crash while a suspect runs alone is strong evidence:
// the request is refused everywhere until its record expires. A run that ends without a
// crash clears the suspect, since a request that crashes servers crashes each of them.
// The package does no I/O and reads no clock; the current time is an argument, and
// tables are immutable values.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// Duration is the lifetime of a record after its latest crash.
	Duration = 10 * time.Minute
	// designationPeriod is the time after the latest crash in which only the designated
	// server runs the suspect. It bounds how many servers a request crashes at a time;
	// after it, any server may run the suspect, since the designated one may be down.
	designationPeriod = 5 * time.Second
	// crashLimit is the number of crashes, one of them with strong evidence, that
	// quarantines a request.
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
	// Alone is true if the request was a suspect and ran alone.
	Alone bool
}

// compare orders crashes by instance, then by time, those of requests that ran alone
// last.
func (c Crash) compare(other Crash) int {
	return cmp.Or(cmp.Compare(c.Instance, other.Instance), cmp.Compare(c.Time, other.Time), compareBool(c.Alone, other.Alone))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
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
	for _, c := range s.uncleared() {
		out = append(out, c.Instance)
	}
	return slices.Compact(out)
}

// uncleared returns the crashes that are not cleared, sorted.
func (s Suspect) uncleared() []Crash {
	var out []Crash
	for _, c := range s.Crashes {
		if !slices.Contains(s.Cleared, c) {
			out = append(out, c)
		}
	}
	return out
}

// RanAlone reports whether a server crashed while the request ran there alone.
func (s Suspect) RanAlone() bool {
	return slices.ContainsFunc(s.uncleared(), func(c Crash) bool { return c.Alone })
}

// Quarantined reports whether the request is refused everywhere. Servers that crash
// together for a reason of their own quarantine no request that ran at several of them.
func (s Suspect) Quarantined() bool { return len(s.uncleared()) >= crashLimit && s.RanAlone() }

// Clear returns the record to add after the request has run without a crash. It clears
// all crashes of s.
func (s Suspect) Clear() Suspect {
	s.Cleared = s.Crashes
	return s
}

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

// Suspect returns the record of a fingerprint. ok is false if there is none or if all
// its crashes are cleared.
func (t Table) Suspect(f Fingerprint) (s Suspect, ok bool) {
	s = t.records[f]
	return s, len(s.uncleared()) > 0
}

// IsSuspect reports whether a fingerprint has a record with crashes that are not cleared.
func (t Table) IsSuspect(f Fingerprint) bool {
	_, ok := t.Suspect(f)
	return ok
}

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
	before, after := len(old.uncleared()) > 0, len(merged.uncleared()) > 0
	switch {
	case !old.Quarantined() && merged.Quarantined():
		changes.Quarantined = append(changes.Quarantined, s.Fingerprint)
	case !before && after:
		changes.Suspected = append(changes.Suspected, s.Fingerprint)
	case before && !after:
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
