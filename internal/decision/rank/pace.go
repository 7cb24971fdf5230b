package rank

import "time"

const (
	// partnerInterval is the time between two polls of a reader at its partners.
	partnerInterval = 3 * time.Second
	// minCompareInterval is the least time between two comparisons with a
	// random node.
	minCompareInterval = 15 * time.Second
	// compareTimePerMember lengthens the interval with the size of the mesh,
	// because the bytes of a comparison grow with it.
	compareTimePerMember = 1500 * time.Microsecond
)

// CompareInterval returns the time between two polls outside of the tree, by
// which a node learns what the tree missed.
func CompareInterval(reader bool, members int) time.Duration {
	if reader {
		return partnerInterval
	}
	return max(minCompareInterval, time.Duration(members)*compareTimePerMember)
}
