package balance

import (
	"slices"
	"time"
)

// Policy selects how servers are chosen. All but PolicyAdaptive are baselines
// for experiments.
type Policy string

const (
	// PolicyAdaptive is the production policy, implemented by Choose.
	PolicyAdaptive Policy = "adaptive"
	// PolicyRandom chooses a random server.
	PolicyRandom Policy = "random"
	// PolicyReported chooses the one of two random servers that reported the
	// smaller load.
	PolicyReported Policy = "reported"
)

// ReportedLoadInterval is the minimum time between two updates of a server's
// reported load under PolicyReported.
const ReportedLoadInterval = 5 * time.Second

// ChooseBy chooses a server by the given policy. Like Choose, it returns a position or
// None.
func ChooseBy(policy Policy, pool Pool, crossDomainPenalty, now time.Duration, random Source) int {
	switch policy {
	case PolicyRandom:
		return chooseBaseline(pool, now, random, func(Statistics) int { return 0 })
	case PolicyReported:
		return chooseBaseline(pool, now, random, func(s Statistics) int { return s.Load.InFlight + s.Load.Queued })
	default:
		return Choose(pool, crossDomainPenalty, now, random)
	}
}

// collectBy collects the candidates of a policy; those of a baseline are all local.
func (c *candidateSet) collectBy(policy Policy, pool Pool, now time.Duration) {
	switch policy {
	case PolicyRandom, PolicyReported:
		c.panicMode = true
		collectBaseline(pool, now, &c.local)
	default:
		c.collect(pool, now)
	}
}

func (c *candidateSet) contains(position int) bool {
	return slices.Contains(c.local.positions[:c.local.count], position) ||
		slices.Contains(c.remote.positions[:c.remote.count], position)
}

func collectBaseline(pool Pool, now time.Duration, usable *candidates) {
	collectCandidates(pool, now, usable, usable, true)
}

// chooseBaseline draws two candidates and returns the one with the smaller score, the
// first if they are equal. It uses ejected servers too, except for those that have left.
func chooseBaseline(pool Pool, now time.Duration, random Source, score func(Statistics) int) int {
	var usable candidates
	collectBaseline(pool, now, &usable)
	if usable.count < 2 {
		return powerOfTwoChoices(pool, &usable, coldShares{}, now, random)
	}
	first := drawUniform(&usable, None, random)
	second := drawUniform(&usable, first, random)
	if score(pool.At(second)) < score(pool.At(first)) {
		return second
	}
	return first
}
