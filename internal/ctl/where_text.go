package ctl

import (
	"fmt"
	"strings"

	"github.com/galenalever/galenalever/internal/status"
)

func refusalText(r *status.WhereRefusal) string {
	text := fmt.Sprintf("%d, %s, %s", r.Status, r.Outcome, r.Reason)
	if r.RetryAfterTo > 0 {
		text += fmt.Sprintf(", Retry-After %s to %s", short(r.RetryAfterFrom), short(r.RetryAfterTo))
	}
	if r.Allow != "" {
		text += ", allowed: " + r.Allow
	}
	return text
}

func exclusionText(e status.WhereExcluded) string {
	text := e.Reason
	if e.LastFailure != "" {
		text += " (" + string(e.LastFailure) + ")"
	}
	if e.Left > 0 {
		text += " for " + short(e.Left)
	}
	return text
}

func throttleText(p status.WherePart) string {
	if p.Throttle == nil {
		return "none"
	}
	return percent(p.Throttled) + " of such requests: " + refusalText(p.Throttle)
}

func hedgeText(h status.WhereHedge) string {
	if !h.Hedged {
		return "no, " + h.Reason
	}
	return "after " + short(h.After)
}

func latencyText(c status.WhereCost) string {
	text := short(c.Latency)
	if c.LatencyAge == nil {
		return text + " (no data)"
	}
	return text + " (" + short(*c.LatencyAge) + ")"
}

func loadText(l *status.WhereLoad) string {
	if l == nil {
		return "-"
	}
	text := fmt.Sprintf("%d running, %d queued", l.InFlight, l.Queued)
	if l.Wait > 0 {
		text += ", wait " + short(l.Wait)
	}
	return text + " (" + short(l.Age) + ")"
}

// notesOf describes what changes the usual share of a candidate.
func notesOf(c status.WhereCandidate) string {
	var notes []string
	if c.Cold != nil {
		notes = append(notes, fmt.Sprintf("cold for %s: %g/s, share %s (listed %s ago)",
			short(c.Cold.Left), c.Cold.Rate, percent(c.Cold.Share), short(c.Cold.Age)))
	}
	if c.SlowStart > 0 {
		notes = append(notes, "slow start "+percent(c.SlowStart))
	}
	if c.Saturated {
		notes = append(notes, "queue full")
	}
	if c.Failures > 0 {
		notes = append(notes, fmt.Sprintf("failures: %d, the last %s", c.Failures, c.LastFailure))
	}
	if c.Cost.Silence > 0 {
		notes = append(notes, "silent for "+short(c.Cost.Silence))
	}
	return strings.Join(notes, "; ")
}

// forecastText describes the forecast of the node's own gate.
func forecastText(f *status.WhereForecast) string {
	text := f.Verdict
	if f.Wait > 0 {
		text += " " + short(f.Wait)
	}
	text += fmt.Sprintf(" (%d of %d slots, %d queued)", f.InFlight, f.Slots, f.Queued)
	if f.Response != nil {
		text += "; unless another server takes the request, its caller gets " + refusalText(f.Response)
	}
	return text
}
