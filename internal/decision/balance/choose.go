package balance

import "time"

// SubsetSize is the largest number of servers of one service among which a caller's
// node chooses.
const SubsetSize = 16

// minCrossDomainPenalty is the minimum of CrossDomainPenalty, which applies to requests
// with a short objective or none.
const minCrossDomainPenalty = 8 * time.Millisecond

// crossDomainObjectiveShare is the share of a request's objective by which a local
// server may be slower than a remote one, since links between domains are expensive.
const crossDomainObjectiveShare = 0.5

// CrossDomainPenalty returns how much slower a local server may be than a remote
// one before a request with the objective leaves the failure domain. An objective
// of 0 means that the request has none.
func CrossDomainPenalty(objective time.Duration) time.Duration {
	return max(time.Duration(crossDomainObjectiveShare*float64(objective)), minCrossDomainPenalty)
}

// Pool holds the servers of one service in the caller's order of preference.
type Pool interface {
	Len() int
	// At returns the statistics of the server at a position, counted from 0.
	At(position int) Statistics
}

// None is the choice when no server is usable.
const None = -1

// Choose returns the position of the server for a request, or None. It draws a local
// and a remote candidate. The request stays in the failure domain unless no local
// server is usable, the queue of the local candidate is full but not that of the remote
// one, or the remote one is faster by more than crossDomainPenalty.
func Choose(pool Pool, crossDomainPenalty, now time.Duration, random Source) int {
	var c candidateSet
	c.collect(pool, now)
	localChoice, remoteChoice := powerOfTwoChoices(pool, &c.local, c.shares, now, random), powerOfTwoChoices(pool, &c.remote, c.shares, now, random)
	if c.shares.divert(pool, &c.local, &c.remote, localChoice, remoteChoice, crossDomainPenalty, now, random) {
		return remoteChoice
	}
	return preferLocal(pool, localChoice, remoteChoice, crossDomainPenalty, now)
}

const (
	// minQueueWait is the minimum of MaxQueueWait while no hop was measured.
	minQueueWait = 5 * time.Millisecond
	// maxHop bounds the measured time of a hop, so that a saturated link does not make
	// requests wait at full servers.
	maxHop = 100 * time.Millisecond
)

// MaxQueueWait returns the longest predicted wait for a slot at which the chosen server
// is still preferred to another one; 0 means no limit, because there is no other. hop is
// how long a refusal takes: a request that has reached a server waits there rather
// than pay for another hop. Over links full of uploads, refusals took 25 ms, and a call with
// 20 ms of work was refused by two servers with free slots in less than that.
func MaxQueueWait(pool Pool, chosen int, crossDomainPenalty, hop, now time.Duration) time.Duration {
	chosenServer := pool.At(chosen)
	best := time.Duration(0)
	for i := range min(pool.Len(), SubsetSize) {
		s := pool.At(i)
		if i == chosen || s.Excluded || s.Health.Ejected(now) {
			continue
		}
		cost := s.cost(now)
		switch {
		case chosenServer.Local && !s.Local:
			cost += crossDomainPenalty
		case s.Local && !chosenServer.Local:
			cost -= crossDomainPenalty
		}
		if best == 0 || cost < best {
			best = cost
		}
	}
	if best == 0 {
		return 0
	}
	return max(best-(chosenServer.cost(now)-chosenServer.slotWait(now)), 0) + max(min(hop, maxHop), minQueueWait)
}

// candidates is a bounded set of positions in a pool.
type candidates struct {
	positions [SubsetSize]int
	count     int
	cold      int // the number of cold ones
}

func (c *candidates) add(position int, cold bool) {
	c.positions[c.count] = position
	c.count++
	if cold {
		c.cold++
	}
}

// candidateSet holds the candidates of one request. In panic mode ejections are ignored.
type candidateSet struct {
	local, remote candidates
	panicMode     bool
	shares        coldShares // set if a candidate is cold
}

func (c *candidateSet) collect(pool Pool, now time.Duration) {
	usable, ejected := collectCandidates(pool, now, &c.local, &c.remote, false)
	if ejected > usable {
		// Most servers are ejected: either the others cannot handle the load, or this
		// node or its network is at fault.
		*c = candidateSet{panicMode: true}
		collectCandidates(pool, now, &c.local, &c.remote, true)
	}
	if c.local.cold+c.remote.cold > 0 {
		c.shares = newColdShares(pool)
	}
}

// collectCandidates adds the first SubsetSize usable servers to local and remote. It
// returns the numbers of usable and ejected servers up to the last one that it examined.
// In panic mode ejected servers are usable, except for those that have left.
func collectCandidates(pool Pool, now time.Duration, local, remote *candidates, panicMode bool) (usable, ejected int) {
	for i := range pool.Len() {
		if usable == SubsetSize {
			break
		}
		s := pool.At(i)
		switch s.exclusion(now, panicMode) {
		case NotExcluded:
		case Ejected:
			ejected++
			continue
		default:
			continue
		}
		usable++
		if s.Local {
			local.add(i, s.ColdRatePerSlot > 0)
		} else {
			remote.add(i, s.ColdRatePerSlot > 0)
		}
	}
	return usable, ejected
}

// powerOfTwoChoices draws two different candidates and returns the one of lower cost, or
// None if there is no candidate.
func powerOfTwoChoices(pool Pool, c *candidates, shares coldShares, now time.Duration, random Source) int {
	switch c.count {
	case 0:
		return None
	case 1:
		return c.positions[0]
	}
	first := drawByShare(pool, c, None, shares, now, random)
	second := drawByShare(pool, c, first, shares, now, random)
	if pool.At(second).cost(now) < pool.At(first).cost(now) {
		return second
	}
	return first
}

// maxShareRedraws bounds how often a draw is repeated because the candidate
// is in slow start or cold.
const maxShareRedraws = 3

// drawByShare returns a random candidate other than the given position. It accepts a
// candidate in slow start, or a cold one, with a probability equal to its share.
func drawByShare(pool Pool, c *candidates, other int, shares coldShares, now time.Duration, random Source) int {
	drawn := drawUniform(c, other, random)
	for range maxShareRedraws {
		s := pool.At(drawn)
		share := s.slowStartShare(now) * shares.of(s)
		if share == 1 || randomFloat(random) < share {
			return drawn
		}
		drawn = drawUniform(c, other, random)
	}
	return drawn
}

// drawUniform returns a random candidate other than the given position. All
// candidates are equally likely.
func drawUniform(c *candidates, other int, random Source) int {
	if other == None {
		return c.positions[randomIndex(random, c.count)]
	}
	drawn := c.positions[randomIndex(random, c.count-1)]
	if drawn == other {
		return c.positions[c.count-1]
	}
	return drawn
}

// preferLocal returns the local server unless its queue is full but not that of the
// remote one, or the remote one is faster by more than crossDomainPenalty.
func preferLocal(pool Pool, local, remote int, crossDomainPenalty, now time.Duration) int {
	if local == None {
		return remote
	}
	if remote == None {
		return local
	}
	l, r := pool.At(local), pool.At(remote)
	if l.saturated(now) != r.saturated(now) {
		if l.saturated(now) {
			return remote
		}
		return local
	}
	if l.cost(now) > r.cost(now)+crossDomainPenalty {
		return remote
	}
	return local
}
