package platformread

import "time"

const (
	// outageFailures is the number of consecutive failed calls that show an outage. One
	// alone does not: the platform may cut a watch that waits.
	outageFailures = 2
	// outageSilence is how long the platform must have owed a response until one failed
	// call shows an outage.
	outageSilence = time.Second
)

// failures are the consecutive failed calls to the platform. The zero value is none.
type failures struct {
	count int
	// since is when the platform owed the first response, or broke that call off, and last
	// is when the latest call failed.
	since, last time.Time
}

// add records a failed call. Until answerDue, the platform had no need to respond.
func (f *failures) add(answerDue, now time.Time) {
	if f.count == 0 {
		f.since = now
		if answerDue.Before(now) {
			f.since = answerDue
		}
	}
	f.count++
	f.last = now
}

// showOutage reports whether the platform was down between the first failure and the time
// until, so that entries may have expired that no server could renew.
func (f failures) showOutage(until time.Time) bool {
	return f.count >= outageFailures || f.count > 0 && until.Sub(f.since) >= outageSilence
}
