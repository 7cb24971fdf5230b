// Package pause measures how long a process did not run. It is pure: times are
// arguments.
package pause

import "time"

// Gap returns the time between two readings of the clock. A suspended machine
// may stop the monotonic clock and a suspended process may not see the wall
// clock being set, so the longer of the two counts.
func Gap(last, now time.Time) time.Duration {
	monotonic := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	return max(monotonic, wall)
}
