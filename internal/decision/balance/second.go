package balance

import "time"

// SecondPool is a pool for the choice of a second server, while the first one has not
// responded.
type SecondPool interface {
	Pool
	// SharedFate returns what the server at a position has in common with the first one.
	SharedFate(position int) SharedFate
}

// SharedFate is what two servers have in common, so that both may be slow for one reason.
type SharedFate uint8

const (
	// NothingShared means that the servers are in different failure domains.
	NothingShared SharedFate = iota
	// SharedDomain means that they are in one failure domain.
	SharedDomain
	// SharedHost means that they run on one host.
	SharedHost
	sharedFates
)

// Second describes a request for which a second server is chosen.
type Second struct {
	// Typical is the time that such requests usually take. It counts for a server that
	// seems faster or about which nothing is known.
	Typical time.Duration
	// ObjectiveLeft is the time until the latency objective.
	ObjectiveLeft time.Duration
}

// ChooseSecond returns the position of the server for a second attempt that runs beside the
// first one, or None. Only warm servers without failures and with a free slot are chosen.
// Of these, it prefers one in another failure domain than the first, and then one on another
// host, if the response is expected within the objective there; the load decides among
// equals. If no server meets the objective, it prefers those of the caller's failure
// domain, as Choose does, since links between domains are expensive.
func ChooseSecond(pool SecondPool, q Second, now time.Duration, random Source) int {
	var inTime [sharedFates]candidates
	var local, remote candidates
	usable := 0
	for i := range pool.Len() {
		if usable == SubsetSize {
			break
		}
		s := pool.At(i)
		if !s.fitForSecond(now) {
			continue
		}
		usable++
		if s.secondDuration(q, now) <= q.ObjectiveLeft {
			inTime[pool.SharedFate(i)].add(i, false)
		}
		if s.Local {
			local.add(i, false)
		} else {
			remote.add(i, false)
		}
	}
	for _, list := range []*candidates{&inTime[NothingShared], &inTime[SharedDomain], &inTime[SharedHost], &local, &remote} {
		if list.count > 0 {
			return powerOfTwoChoices(pool, list, coldShares{}, now, random)
		}
	}
	return None
}

// fitForSecond reports whether the server can start another request at once, as far as
// the caller's node knows.
func (s Statistics) fitForSecond(now time.Duration) bool {
	return !s.Excluded && !s.Health.Ejected(now) && s.Health.Failures == 0 && s.ColdRatePerSlot == 0 &&
		s.pendingRequests(now) < float64(max(s.Slots, 1))
}

// secondDuration estimates how long a request takes at the server.
func (s Statistics) secondDuration(q Second, now time.Duration) time.Duration {
	expected := max(decayedLatency(s.Latency, now-s.LatencyAt), s.Silence, q.Typical)
	if !s.Local {
		expected += minCrossDomainPenalty
	}
	return expected
}
