package balance

import "time"

// Exclusion states why a server is not among the candidates of a request.
type Exclusion uint8

// The values of Exclusion.
const (
	NotExcluded Exclusion = iota
	Tried                 // the request must not use it again
	Left                  // its gate reported that it leaves, is evacuated or was replaced
	Ejected               // too many consecutive failures
	// BeyondSubset is a server that follows the first SubsetSize usable ones.
	BeyondSubset
)

// String returns the name used on status pages.
func (e Exclusion) String() string {
	return [...]string{"candidate", "tried", "left", "ejected", "beyond-subset"}[e]
}

// exclusion returns why a server is not usable. In panic mode ejected servers are usable,
// except for those that have left.
func (s Statistics) exclusion(now time.Duration, panicMode bool) Exclusion {
	switch {
	case s.Excluded:
		return Tried
	case !s.Health.Ejected(now):
		return NotExcluded
	case s.Health.Left:
		return Left
	case !panicMode:
		return Ejected
	}
	return NotExcluded
}

// Explanation describes the choice among the servers of a pool.
type Explanation struct {
	// Panic is true if ejections are ignored because most servers are ejected, or because
	// the policy does not use them.
	Panic bool
	// Servers has one entry for each position of the pool.
	Servers []ServerView
}

// ServerView is what the choice makes of one server.
type ServerView struct {
	Statistics
	Exclusion Exclusion
	Cost      Cost
	// Saturated is true if the queue was full when the load was reported, shortly before.
	Saturated bool
	// SlowStartShare and ColdShare are the shares of its usual requests that the server
	// gets during slow start and while it is cold; 1 otherwise.
	SlowStartShare, ColdShare float64
	// Chosen is the share of the requests for which the server is chosen.
	Chosen float64
	// MaxQueueWait is the result of the function of this name for a chosen server.
	MaxQueueWait time.Duration
}

// explainedChoices is the number of choices from which Explain estimates the shares. Their
// standard error is at most 2.3 %.
const explainedChoices = 500

// Explain describes the choices that ChooseBy makes for a pool whose statistics do not
// change meanwhile. The shares are those of explainedChoices choices with the given source
// of random numbers, which must not be the one that chooses for requests.
func Explain(policy Policy, pool Pool, crossDomainPenalty, hop, now time.Duration, random Source) Explanation {
	var c candidateSet
	c.collectBy(policy, pool, now)
	out := Explanation{Panic: c.panicMode, Servers: make([]ServerView, pool.Len())}
	for i := range out.Servers {
		s := pool.At(i)
		out.Servers[i] = ServerView{
			Statistics: s, Exclusion: s.exclusion(now, c.panicMode), Cost: s.Cost(now), Saturated: s.saturated(now),
			SlowStartShare: s.slowStartShare(now), ColdShare: c.shares.of(s),
		}
		if out.Servers[i].Exclusion == NotExcluded && !c.contains(i) {
			out.Servers[i].Exclusion = BeyondSubset
		}
	}
	counts := make([]int, pool.Len())
	for range explainedChoices {
		if chosen := ChooseBy(policy, pool, crossDomainPenalty, now, random); chosen != None {
			counts[chosen]++
		}
	}
	for i, n := range counts {
		if n > 0 {
			out.Servers[i].Chosen = float64(n) / explainedChoices
			out.Servers[i].MaxQueueWait = MaxQueueWait(pool, i, crossDomainPenalty, hop, now)
		}
	}
	return out
}
