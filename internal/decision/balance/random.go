package balance

// Source supplies uniformly distributed random numbers. The rand.Source of
// math/rand/v2 implements it.
type Source interface {
	Uint64() uint64
}

// randomFloat returns a number in [0, 1).
func randomFloat(random Source) float64 {
	const mantissaBits = 53
	return float64(random.Uint64()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// randomIndex returns a number in [0, n).
func randomIndex(random Source, n int) int {
	return int(randomFloat(random) * float64(n))
}
