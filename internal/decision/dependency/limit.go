package dependency

import (
	"math"
	"time"
)

const (
	// limitShare is the share of runs failed by calls above which a kind is limited. Below
	// it more is lost by holding back than by runs that fail.
	limitShare = 0.33
	// minFailed is the least number of failed runs in a window that limits a kind. Fewer
	// show nothing about the others.
	minFailed = 3
	// growthShare is the share of runs failed by calls up to which a limit grows. A called
	// service that is overloaded by repeated requests recovers only if its load falls until
	// nearly all calls are answered. With 0.02 recovery takes longer.
	growthShare = 0.05
	// growth is the factor by which a limit without failures exceeds the runs that
	// succeeded in a window. It takes 2 s to double a limit: the repeated requests of the
	// overload are still there, and a sudden end of the limit caused the next one.
	growth = 1.2
	// fastGrowth replaces growth below half of the rate at which runs began to fail, and
	// above beyondShare of it, where another overload is unlikely.
	fastGrowth = 2.0
	// nearGrowth replaces growth above nearShare of the rate at which runs last began to
	// fail, where a step of growth would lead to the next overload.
	nearGrowth = 1.06
	nearShare  = 0.8
	// beyondShare is the part of that rate above which fastGrowth applies again: the cause
	// has ended, for example the warm-up of the servers. With 1.1 limits grew into the next
	// overload after a burst, with 1.3 a limit took a second longer after a warm-up.
	beyondShare = 1.2
	// patience is the time for which failures of a share below limitShare reduce a limit.
	// Failures that remain when the rate has been low for so long have another cause.
	patience = 5 * time.Second
	// probeInterval is the longest time between two starts, so that it is seen soon when
	// calls are answered again.
	probeInterval = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay of a refusal.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// kind is the state of one kind of requests.
type kind struct {
	window  window
	limited bool
	// reducing is true while so many runs fail that the limit decreases; fullRate is how
	// many started in the window before it did.
	reducing bool
	fullRate int
	// held counts all refused requests, lost all runs that failed because of a call.
	held, lost uint64
	// limitedAt is when the kind was limited, lastHigh when the share of failed runs was
	// last above limitShare.
	limitedAt, lastHigh, lastUsed time.Time
	// next is when the next request of a limited kind may start, interval the time added
	// for the last one. Starts are spaced evenly, since all servers of a service are
	// limited at the same time and would start their runs together.
	next     time.Time
	interval time.Duration
	// trial decides whether the limit has an effect.
	trial trial
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addFailed attributes an unanswered call to a run that began at begun and was counted as
// a success.
func (k *kind) addFailed(begun, now time.Time) {
	k.trial.add(begun, 0, 1)
	b := k.window.at(now)
	b.failed++
	k.window.total.failed++
	k.lost++
}

// decide decides on a request and counts it. There are no more runs failed by calls than
// unanswered calls. An overdue request starts one interval later than another one could:
// callers that were refused come again after their objective, and would take the starts
// of requests that can be answered in time, so that all of them end late.
func (k *kind) decide(unanswered int, overdue bool, now time.Time) Decision {
	b := k.window.at(now)
	was := k.limited
	k.update(unanswered, now)
	d := Decision{Admitted: true, Limited: k.limited, Changed: k.limited != was}
	if k.limited {
		limit := k.limit(unanswered, now)
		due := k.next
		if overdue {
			due = due.Add(k.interval)
		}
		if now.Before(due) {
			d.Admitted = false
			d.RetryAfter = retryAfter(k.window.total, limit)
			k.held++
			b.held++
			k.window.total.held++
			return d
		}
		k.interval = min(time.Duration(float64(windowLength)/max(limit, 1)), probeInterval)
		k.next = latest(k.next, now.Add(-k.interval)).Add(k.interval)
	}
	b.started++
	k.window.total.started++
	return d
}

// update begins or ends the limit.
func (k *kind) update(unanswered int, now time.Time) {
	failed, succeeded := k.results(unanswered)
	switch {
	case !k.limited:
		k.trial.causeEnded(failed, succeeded)
		if mostFail(failed, succeeded) && k.trial.begin(failed, succeeded, k.window.total.started, now) {
			k.limited, k.limitedAt, k.next, k.reducing = true, now, now, false
		}
	case now.Sub(k.limitedAt) > windowLength && k.window.total.held == 0, k.trial.inVain(now):
		k.limited = false
	}
}

// results returns how many runs of the window failed because of calls, and how many did
// not.
func (k *kind) results(unanswered int) (failed, succeeded int) {
	failed = min(k.window.total.failed, unanswered)
	return failed, max(k.window.total.ended-failed, 0)
}

// mostFail reports whether so many runs fail because of calls that their kind is limited.
func mostFail(failed, succeeded int) bool {
	return failed >= minFailed && float64(failed) > limitShare*float64(failed+succeeded)
}

// limit returns the number of runs that may start in a window.
func (k *kind) limit(unanswered int, now time.Time) float64 {
	failed, succeeded := k.results(unanswered)
	share := float64(failed) / float64(max(failed+succeeded, 1))
	if mostFail(failed, succeeded) {
		k.lastHigh = now
	}
	if share > growthShare && !k.reducing {
		k.fullRate = k.window.total.started
	}
	k.reducing = share > growthShare
	switch {
	case k.trial.active:
		return trialLimit * float64(k.trial.started)
	case now.Sub(k.lastHigh) > patience:
		return growth*float64(failed+succeeded) + 1
	case 2*succeeded < k.fullRate, float64(succeeded) > beyondShare*float64(k.fullRate):
		return math.Pow(fastGrowth, 1-share/growthShare) * float64(succeeded)
	case share <= growthShare && float64(succeeded) > nearShare*float64(k.fullRate):
		return nearGrowth * float64(succeeded)
	default:
		return math.Pow(growth, 1-share/growthShare) * float64(succeeded)
	}
}

// retryAfter returns the time in which a limit that grows in every window reaches the
// present rate of arrivals.
func retryAfter(c counts, limit float64) time.Duration {
	windows := math.Log2(float64(c.started+c.held+1)/max(limit, 1)) / math.Log2(fastGrowth)
	return min(max(time.Duration(windows*float64(windowLength)), minRetryAfter), maxRetryAfter)
}
