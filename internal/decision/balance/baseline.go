package balance

import "time"

// Policy selects how servers are chosen. All but Adaptive are baselines for
// experiments.
type Policy string

const (
	// PolicyAdaptive is the product's own choice.
	PolicyAdaptive Policy = "adaptive"
	// PolicyRandom chooses at random.
	PolicyRandom Policy = "random"
	// PolicyReported takes the smaller reported load of two random servers.
	PolicyReported Policy = "reported"
)

// ReportedLoadInterval is how old a reported load gets under PolicyReported before a
// newer one takes its place.
const ReportedLoadInterval = 5 * time.Second

// ChooseBy is Choose under a policy.
func ChooseBy(policy Policy, pool Pool, locality, now time.Duration, random Source) int {
	switch policy {
	case PolicyRandom:
		return chooseBaseline(pool, now, random, func(Statistics) int { return 0 })
	case PolicyReported:
		return chooseBaseline(pool, now, random, func(s Statistics) int { return s.Load.InFlight + s.Load.Queued })
	default:
		return Choose(pool, locality, now, random)
	}
}

// chooseBaseline draws two candidates and returns the one with the smaller
// score, the first if they are equal.
func chooseBaseline(pool Pool, now time.Duration, random Source, score func(Statistics) int) int {
	var usable candidates
	collect(pool, now, &usable, &usable, true)
	if usable.count < 2 {
		return pickTwo(pool, &usable, now, random)
	}
	first := drawAny(&usable, None, random)
	second := drawAny(&usable, first, random)
	if score(pool.At(second)) < score(pool.At(first)) {
		return second
	}
	return first
}
