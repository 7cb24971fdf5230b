package rank

import "time"

const (
	// partnerInterval is the time between two polls of partners by a reader.
	partnerInterval = 3 * time.Second
	// minCompareInterval is the minimum time between two comparisons with a
	// random node.
	minCompareInterval = 15 * time.Second
	// compareTimePerMember lengthens the interval with the size of the mesh,
	// because the bytes of a comparison grow with it.
	compareTimePerMember = 1500 * time.Microsecond
)

// CompareInterval returns the time between two polls of nodes other than the
// upstream, by which a node learns of changes that did not reach it through the
// tree of upstreams. The mesh has the given number of members.
func CompareInterval(reader bool, members int) time.Duration {
	if reader {
		return partnerInterval
	}
	return max(minCompareInterval, time.Duration(members)*compareTimePerMember)
}
