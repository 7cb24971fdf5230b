package dependency

import "time"

const (
	// trialLimit is the share of the former starts that a kind may make during a trial.
	// With 0.7 an overload hardly decreased; with 0.3 a trial in vain cost twice as much.
	trialLimit = 0.5
	// trialDelay is the time after which started runs show the effect of the limit; calls
	// of runs before them are still queued at the called service.
	trialDelay = 150 * time.Millisecond
	// trialRuns is the number of runs that decide a trial, twice as many once a limit has
	// had an effect. With these a share of 0.5 is told from one of 0.1.
	trialRuns = 8
	// trialShare is the largest part of the former share of failures that counts as an
	// effect.
	trialShare = 0.5
	// hopelessShare is the share of failed runs above which a limit lasts without an
	// effect, since next to nothing is lost by it.
	hopelessShare = 0.9
	// minTrialPause is the pause after a limit without effect. It doubles with each
	// further one, up to maxTrialPause.
	minTrialPause = 8 * time.Second
	maxTrialPause = 64 * time.Second
)

// trial decides whether a limit lowers the share of runs that fail because of calls. A
// limit that does not, since the calls fail whatever is admitted, only loses work.
type trial struct {
	// active is true until the first result after the limit began.
	active bool
	// before is the share of failed runs when the limit began, started the number of runs
	// that had started in the window before.
	before  float64
	started int
	// Runs that began at from or later count; needed of them decide.
	from                  time.Time
	ended, failed, needed int
	// pause is the length of the last pause, which ends at pausedUntil.
	pause       time.Duration
	pausedUntil time.Time
}

// begin begins the trial of a new limit. It reports false during a pause.
func (t *trial) begin(failed, succeeded, started int, now time.Time) bool {
	if now.Before(t.pausedUntil) {
		return false
	}
	*t = trial{
		active: true, before: float64(failed) / float64(failed+succeeded), started: started,
		from: now.Add(trialDelay), needed: trialRuns, pause: t.pause,
	}
	return true
}

// add counts runs that began at begun.
func (t *trial) add(begun time.Time, ended, failed int) {
	if !begun.Before(t.from) {
		t.ended += ended
		t.failed += failed
	}
}

// inVain reports whether the limit has had no effect and ends. A pause follows, in which
// it does not return.
func (t *trial) inVain(now time.Time) bool {
	if t.ended < t.needed {
		return false
	}
	share := float64(t.failed) / float64(t.ended)
	t.active, t.from, t.needed, t.ended, t.failed = false, now, 2*trialRuns, 0, 0
	switch {
	case share <= trialShare*t.before:
		t.pause = 0
		return false
	case share > hopelessShare:
		return false
	}
	t.pause = min(max(2*t.pause, minTrialPause), maxTrialPause)
	t.pausedUntil = now.Add(t.pause)
	return true
}

// causeEnded ends a pause once the runs of a window succeed, since the next failures have
// another cause.
func (t *trial) causeEnded(failed, succeeded int) {
	if failed == 0 && succeeded >= trialRuns {
		t.pause, t.pausedUntil = 0, time.Time{}
	}
}
