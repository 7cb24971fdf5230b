package balance

// Source supplies uniformly distributed random numbers. A rand.Source of
// math/rand/v2 is one.
type Source interface {
	Uint64() uint64
}

// unit returns a number in [0, 1).
func unit(random Source) float64 {
	const mantissaBits = 53
	return float64(random.Uint64()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// position returns a number in [0, n).
func position(random Source, n int) int {
	return int(unit(random) * float64(n))
}
