package balance

import "time"

// SubsetSize is the number of servers of one service among which a caller's
// node chooses.
const SubsetSize = 16

// crossDomainPenalty is how much longer the local choice may take before a
// request without an objective leaves the failure domain.
const crossDomainPenalty = 8 * time.Millisecond

// objectiveForLocality is the part of a request's objective that staying in the
// failure domain may cost, since links between domains are costly.
const objectiveForLocality = 0.5

// CrossDomainPenalty returns how much longer the local choice may take before a request
// with the objective leaves the failure domain; 0 means that it has none.
func CrossDomainPenalty(objective time.Duration) time.Duration {
	return max(time.Duration(objectiveForLocality*float64(objective)), crossDomainPenalty)
}

// Pool is the servers of one service in the caller's order of preference.
type Pool interface {
	Len() int
	At(position int) Statistics
}

// None is the choice when no server can take the request.
const None = -1

// Choose returns the position of the server that takes the request, or None. A
// request stays in the failure domain unless that takes longer by locality.
func Choose(pool Pool, locality, now time.Duration, random Source) int {
	var local, remote candidates
	usable, ejected := collect(pool, now, &local, &remote, false)
	if ejected > usable {
		// So many servers are ejected that the rest could not carry the load, or
		// the fault is on this node's side: the ejections are not believed.
		local, remote = candidates{}, candidates{}
		collect(pool, now, &local, &remote, true)
	}
	return better(pool, pickTwo(pool, &local, now, random), pickTwo(pool, &remote, now, random), locality, now)
}

// leastPatience is the shortest wait for a slot that a request takes before it
// asks another server, which costs a hop.
const leastPatience = 5 * time.Millisecond

// Patience returns how long a request may wait for a slot at the chosen server
// before another one is believed to be the better choice; 0 means that there is
// no other.
func Patience(pool Pool, chosen int, locality, now time.Duration) time.Duration {
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
			cost += locality
		case s.Local && !own.Local:
			cost -= locality
		}
		if best == 0 || cost < best {
			best = cost
		}
	}
	if best == 0 {
		return 0
	}
	return max(best-(own.cost(now)-own.wait(now)), leastPatience)
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

// collect gathers the first SubsetSize usable servers and counts the usable and
// the ejected ones among those it looked at.
func collect(pool Pool, now time.Duration, local, remote *candidates, panicking bool) (usable, ejected int) {
	for i := range pool.Len() {
		if usable == SubsetSize {
			break
		}
		s := pool.At(i)
		if s.Excluded || s.Health.Left && s.Health.Ejected(now) {
			continue
		}
		if s.Health.Ejected(now) && !panicking {
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

// pickTwo draws two different candidates and returns the cheaper one.
func pickTwo(pool Pool, c *candidates, now time.Duration, random Source) int {
	switch c.count {
	case 0:
		return None
	case 1:
		return c.positions[0]
	}
	first := draw(pool, c, None, now, random)
	second := draw(pool, c, first, now, random)
	if pool.At(second).cost(now) < pool.At(first).cost(now) {
		return second
	}
	return first
}

// slowStartDraws bounds how often a server in slow start is drawn again.
const slowStartDraws = 3

// draw returns a random candidate other than the given position. A candidate in
// slow start is kept only as often as its share says.
func draw(pool Pool, c *candidates, other int, now time.Duration, random Source) int {
	drawn := drawAny(c, other, random)
	for range slowStartDraws {
		share := pool.At(drawn).share(now)
		if share == 1 || unit(random) < share {
			return drawn
		}
		drawn = drawAny(c, other, random)
	}
	return drawn
}

func drawAny(c *candidates, other int, random Source) int {
	if other == None {
		return c.positions[position(random, c.count)]
	}
	drawn := c.positions[position(random, c.count-1)]
	if drawn == other {
		return c.positions[c.count-1]
	}
	return drawn
}

// better chooses between the best local and the best remote server.
func better(pool Pool, local, remote int, locality, now time.Duration) int {
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
	if l.cost(now) > r.cost(now)+locality {
		return remote
	}
	return local
}
