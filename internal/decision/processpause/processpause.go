// Package processpause detects for how long the process or its machine was suspended.
// It does no I/O and reads no clock; times are arguments.
package processpause

import "time"

// Gap returns the time between two readings of the clock: the longer of the
// monotonic and the wall clock difference. The monotonic clock may stop while the
// machine is suspended, and the wall clock may be set back while the process is
// suspended.
func Gap(last, now time.Time) time.Duration {
	monotonic := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	return max(monotonic, wall)
}
