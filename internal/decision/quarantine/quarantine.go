// Package quarantine decides what happens to a request that was running when a
// backend server crashed. After one crash it is a suspect: it runs alone and
// only at one designated server that it has not crashed yet. After the second
// crash it is refused everywhere until its record expires. The package is pure:
// time is an argument and tables are immutable values.
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
	// Duration is how long a record lasts after the newest crash.
	Duration = 10 * time.Minute
	// crashLimit is the number of crashed servers that quarantines a request.
	crashLimit = 2
	// maxSuspects bounds the records of one node; those that expire first go
	// first.
	maxSuspects = 1024
)

// Crash identifies one crash of one instance.
type Crash struct {
	Instance model.InstanceID
	// Time is when the instance's node noticed it, in milliseconds since the
	// Unix epoch. It tells crashes of one instance apart.
	Time int64
}

// compare orders crashes.
func (c Crash) compare(other Crash) int {
	return cmp.Or(cmp.Compare(c.Instance, other.Instance), cmp.Compare(c.Time, other.Time))
}

// Suspect is what is known of one fingerprint. Records of different nodes merge
// to the same result in any order and however often they arrive.
type Suspect struct {
	Fingerprint Fingerprint
	// Crashes are those during which the request ran, sorted and without
	// repetition.
	Crashes []Crash
	// Cleared are those after which the request ran without another one, in the
	// same form.
	Cleared []Crash
	Expires time.Time
}

// Crashed returns the instances with crashes that are not cleared, sorted.
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

// union returns the crashes of a and b, sorted and without repetition.
func union(a, b []Crash) []Crash {
	all := slices.Concat(a, b)
	slices.SortFunc(all, Crash.compare)
	return slices.Compact(all)
}

// Table is an immutable set of records. The zero value is empty.
type Table struct{ records map[Fingerprint]Suspect }

// Len returns the number of records.
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

// Changes lists what an update did to a table.
type Changes struct {
	// Suspected and Quarantined are newly so; Ended have expired.
	Suspected, Quarantined, Ended []Fingerprint
}

// Add merges suspects into a copy of the table. An expiry beyond Duration from
// now is shortened, so that no record lasts longer, and expired records go.
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
	next.shrink()
	return next, changes
}

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

// shrink removes the records that expire first while there are too many.
func (t Table) shrink() {
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

// Expire returns a copy without the records that have ended.
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
	// Clear means that the request is no suspect.
	Clear Verdict = iota
	// RunAlone means that this server is the designated one.
	RunAlone
	// RunElsewhere means that another server is the designated one, or none is
	// left.
	RunElsewhere
	// Quarantined means that the request is refused everywhere.
	Quarantined
)

// Decision is the verdict and, for all but Clear, what it rests on.
type Decision struct {
	Verdict Verdict
	Suspect Suspect
}

// Cleared returns the record that clears the suspect after it has run without a
// crash. It clears only the crashes known when the decision was made.
func (d Decision) Cleared() Suspect {
	s := d.Suspect
	s.Cleared = s.Crashes
	return s
}

// Decide returns the verdict on a request at the server self. The members are
// those of the service.
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

// Designated returns the present member with the greatest hash for f among
// those that have not crashed. The node itself counts as present.
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
	return hashText(strconv.FormatUint(uint64(f), 16), string(id))
}
