package admission

import "time"

const (
	// levelCount is the number of admission levels: for each tracked priority one for
	// final attempts and one for the other requests, which wait behind them.
	levelCount = 2 * trackedPriorities
	// levelBuckets and levelBucketLength divide the second over which the outcomes of
	// queued requests are counted.
	levelBuckets      = 4
	levelBucketLength = 250 * time.Millisecond
	// queuedPerStarted is the number of requests that may be queued for each one that
	// started in the last second. The excess fills slots that become free unexpectedly.
	queuedPerStarted = 1.5
	// unservedGrace is the number of requests of a level that may be queued in a second
	// whatever becomes of them, so that no kind is shut out and recovery is detected.
	unservedGrace = 1
	// lateMargin is how long before its last useful start a request may leave the queue
	// and still count as unserved; gates let requests leave 20 ms before the deadline.
	lateMargin = 25 * time.Millisecond
)

// outcomes counts the requests of a level that had to wait: those that started, those
// that left the queue unserved, and those that were refused on arrival by the level.
type outcomes struct{ started, unserved, refused int }

func (o *outcomes) add(other outcomes) {
	o.started += other.started
	o.unserved += other.unserved
	o.refused += other.refused
}

// admissionLevel learns from the outcomes of queued requests what share of the requests
// that have to wait is worth queueing; the others would leave the queue unserved, after a
// wait in which another server could have run them.
type admissionLevel struct {
	buckets [levelBuckets]outcomes
	epochs  [levelBuckets]int64
	// credit is the part of a request that may be queued, from 0 to 1.
	credit float64
}

func epochOf(now time.Time) int64 { return now.UnixNano() / int64(levelBucketLength) }

func (l *admissionLevel) record(o outcomes, now time.Time) {
	epoch := epochOf(now)
	i := epoch % levelBuckets
	if l.epochs[i] != epoch {
		l.epochs[i], l.buckets[i] = epoch, outcomes{}
	}
	l.buckets[i].add(o)
}

// share returns the share of the requests that is worth queueing.
func (l *admissionLevel) share(now time.Time) float64 {
	var sum outcomes
	oldest := epochOf(now) - levelBuckets
	for i, o := range l.buckets {
		if l.epochs[i] > oldest {
			sum.add(o)
		}
	}
	total := sum.started + sum.unserved + sum.refused
	if total == 0 {
		return 1
	}
	return min((queuedPerStarted*float64(sum.started)+unservedGrace)/float64(total), 1)
}

// levelIndex returns the level of a request; 0 is the most urgent.
func levelIndex(r Request) int {
	i := 2 * min(max(r.Priority, 0), trackedPriorities-1)
	if !r.FinalAttempt {
		i++
	}
	return i
}

// levelShare returns the share of the requests like r that may be queued. It is at most
// that of the more urgent levels, so that none of them is refused in favor of r.
func (s *State) levelShare(r Request, now time.Time) float64 {
	share := 1.0
	for i := range levelIndex(r) + 1 {
		share = min(share, s.levels[i].share(now))
	}
	return share
}

// displaced reports whether a request that has to wait is refused by its admission level,
// because more urgent requests would displace it. One that no other request of its level
// or of a more urgent one precedes may always wait.
func (s *State) displaced(r Request, now time.Time) bool {
	if r.Priority <= 0 && !r.FinalAttempt && !r.softDeadline().Before(r.Deadline) {
		return false // without priorities and objectives requests wait until their deadline
	}
	level := &s.levels[levelIndex(r)]
	if level.credit+s.levelShare(r, now) >= 1 {
		return false
	}
	for _, other := range *s.queue(r.Class) {
		if levelIndex(other) <= levelIndex(r) {
			return true
		}
	}
	return false
}

// RecordDisplaced records that a request was refused because of Refusal's decision with
// Displaced, without a call of Arrive.
func (s *State) RecordDisplaced(r Request, now time.Time) { s.spendCredit(r, false, now) }

// spendCredit records whether a request that has to wait was queued or displaced.
func (s *State) spendCredit(r Request, queued bool, now time.Time) {
	level := &s.levels[levelIndex(r)]
	level.credit += s.levelShare(r, now)
	if queued {
		level.credit = max(level.credit-1, 0)
		return
	}
	level.record(outcomes{refused: 1}, now)
}

// recordStarted and recordUnserved record the outcome of a queued request.
func (s *State) recordStarted(r Request, now time.Time) {
	s.levels[levelIndex(r)].record(outcomes{started: 1}, now)
}

func (s *State) recordUnserved(r Request, now time.Time) {
	s.levels[levelIndex(r)].record(outcomes{unserved: 1}, now)
}

// recordAbandoned records a queued request that was abandoned, unless its caller gave up
// while it could still have been served, as callers of hedged requests do.
func (s *State) recordAbandoned(r Request, now time.Time) {
	if now.Add(lateMargin).After(s.StartBy(r)) || now.After(r.queueDeadline) {
		s.recordUnserved(r, now)
	}
}

// Levels returns the shares of the requests of each priority that may be queued now,
// final attempts aside.
func (s *State) Levels(now time.Time) []float64 {
	out := make([]float64, trackedPriorities)
	for p := range out {
		out[p] = s.levelShare(Request{Priority: p}, now)
	}
	return out
}
