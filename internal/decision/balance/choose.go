package balance

import "time"

// SubsetSize is the number of servers of one service among which a caller's
// node chooses.
const SubsetSize = 16

// minCrossDomainPenalty is how much slower a local server may be than a
// remote one before a request without an objective leaves the failure domain.
const minCrossDomainPenalty = 8 * time.Millisecond

// crossDomainObjectiveShare is the share of a request's objective that staying in
// the failure domain may cost, since links between domains are expensive.
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
	At(position int) Statistics
}

// None is the choice when no server can take the request.
const None = -1

// Choose returns the position of the server that takes the request, or None. A
// request stays in the failure domain unless no local server is usable, the queue
// of only the local one is full, or the remote one is faster by more than
// crossDomainPenalty.
func Choose(pool Pool, crossDomainPenalty, now time.Duration, random Source) int {
	var local, remote candidates
	usable, ejected := collectCandidates(pool, now, &local, &remote, false)
	if ejected > usable {
		// Most servers are ejected: either the rest cannot carry the load or the
		// fault is on this node's side. Panic mode ignores the ejections.
		local, remote = candidates{}, candidates{}
		collectCandidates(pool, now, &local, &remote, true)
	}
	return preferLocal(pool,
		powerOfTwoChoices(pool, &local, now, random), powerOfTwoChoices(pool, &remote, now, random),
		crossDomainPenalty, now)
}

// minPatience is the shortest time that a request waits for a slot before it is
// sent to another server, which costs a hop.
const minPatience = 5 * time.Millisecond

// MaxQueueWait returns how long a request may wait for a slot at the chosen server
// before another one is expected to be faster; 0 means that there is no other.
func MaxQueueWait(pool Pool, chosen int, crossDomainPenalty, now time.Duration) time.Duration {
	own := pool.At(chosen)
	best := time.Duration(0)
	for i := range min(pool.Len(), SubsetSize) {
		s := pool.At(i)
		if i == chosen || s.Excluded || s.Health.Ejected(now) {
			continue
		}
		cost := s.cost(now)
		switch {
		case own.Local && !s.Local:
			cost += crossDomainPenalty
		case s.Local && !own.Local:
			cost -= crossDomainPenalty
		}
		if best == 0 || cost < best {
			best = cost
		}
	}
	if best == 0 {
		return 0
	}
	return max(best-(own.cost(now)-own.slotWait(now)), minPatience)
}

// candidates is a bounded set of positions in a pool.
type candidates struct {
	positions [SubsetSize]int
	count     int
}

func (c *candidates) add(position int) {
	c.positions[c.count] = position
	c.count++
}

// collectCandidates gathers the first SubsetSize usable servers and counts the
// usable and the ejected ones among those it looked at. In panic mode ejected
// servers are usable, except for those that have left.
func collectCandidates(pool Pool, now time.Duration, local, remote *candidates, panicMode bool) (usable, ejected int) {
	for i := range pool.Len() {
		if usable == SubsetSize {
			break
		}
		s := pool.At(i)
		if s.Excluded || s.Health.Left && s.Health.Ejected(now) {
			continue
		}
		if s.Health.Ejected(now) && !panicMode {
			ejected++
			continue
		}
		usable++
		if s.Local {
			local.add(i)
		} else {
			remote.add(i)
		}
	}
	return usable, ejected
}

// powerOfTwoChoices draws two different candidates and returns the one of lower
// cost.
func powerOfTwoChoices(pool Pool, c *candidates, now time.Duration, random Source) int {
	switch c.count {
	case 0:
		return None
	case 1:
		return c.positions[0]
	}
	first := drawWithSlowStart(pool, c, None, now, random)
	second := drawWithSlowStart(pool, c, first, now, random)
	if pool.At(second).cost(now) < pool.At(first).cost(now) {
		return second
	}
	return first
}

// maxSlowStartRedraws bounds how often a draw is repeated because the candidate
// is in slow start.
const maxSlowStartRedraws = 3

// drawWithSlowStart returns a random candidate other than the given position. A
// candidate in slow start is accepted with the probability of its share.
func drawWithSlowStart(pool Pool, c *candidates, other int, now time.Duration, random Source) int {
	drawn := drawUniform(c, other, random)
	for range maxSlowStartRedraws {
		share := pool.At(drawn).slowStartShare(now)
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

// preferLocal returns the local server unless only its queue is full or the
// remote one is faster by more than crossDomainPenalty.
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
