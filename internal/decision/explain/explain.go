// Package explain finds the cause of a failed request in the log lines of any
// number of processes. It does no I/O; the caller reads the lines.
package explain

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Line is one log line, with the fields of all kinds of lines about a request.
type Line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Request  string    `json:"request"`
	Attempt  int       `json:"attempt"`
	To       string    `json:"to"`
	Target   string    `json:"target"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	Status   int       `json:"status"`
	Attempts int       `json:"attempts"`
	// Took is the duration of the request or attempt, Waited the time in the gate's
	// queue, Ran the time at the server and Left the time until the deadline, all in
	// milliseconds.
	Took   int64 `json:"took_ms"`
	Waited int64 `json:"waited_ms"`
	Ran    int64 `json:"ran_ms"`
	Left   int64 `json:"left_ms"`
	// Running and Queued count the requests at the gate, Slots its slots.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// Next names the action after an attempt.
	Next string `json:"next"`
	// OverBudget is true if the retry budget allowed no further attempt.
	OverBudget bool `json:"over_budget"`
	Idempotent bool `json:"idempotent"`
	// Late is true if the request took longer than the route's latency objective.
	Late bool `json:"late"`
	// Configuration is the revision in force, ConfigurationAge the time since the node
	// applied it, in milliseconds.
	Configuration    uint64 `json:"configuration"`
	ConfigurationAge int64  `json:"configuration_age_ms"`
}

// Messages of the log lines about a request.
const (
	messageRequest = "request"
	messageAttempt = "attempt"
	messageGate    = "gate"
)

// Parse parses one log line. It skips text before the JSON object, such as the
// prefix of a log collector.
func Parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("no JSON object in log line %q", firstBytes(text))
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil {
		return Line{}, fmt.Errorf("parsing log line %q: %w", firstBytes(text), err)
	}
	return line, nil
}

func firstBytes(text []byte) []byte {
	const shown = 40
	return text[:min(len(text), shown)]
}

// Trace holds the log lines about one request and the cause that they show.
type Trace struct {
	// Lines are the lines of the request and of the calls that it made, ordered by
	// time.
	Lines []Line
	// Cause describes what decided the outcome of the request.
	Cause string
}

// Request returns the trace of the request with the ID. The IDs of the calls that
// it made begin with its own ID and a dot.
func Request(lines []Line, id string) Trace {
	var trace Trace
	for _, line := range lines {
		if line.Request == id || strings.HasPrefix(line.Request, id+".") {
			trace.Lines = append(trace.Lines, line)
		}
	}
	slices.SortStableFunc(trace.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	trace.Cause = cause(trace.Lines, id)
	return trace
}

// cause derives the cause of a request's outcome from the last line of each kind.
func cause(lines []Line, id string) string {
	var request, attempt, gate, call *Line
	for i := range lines {
		line := &lines[i]
		switch {
		case line.Request != id:
			if line.Message == messageRequest && line.failed() {
				call = line
			}
		case line.Message == messageRequest:
			request = line
		case line.Message == messageAttempt:
			attempt = line
		case line.Message == messageGate:
			gate = line
		}
	}
	if request == nil {
		return "unknown: no log line of the caller's node about the end of the request"
	}
	switch {
	case request.Outcome == model.OutcomeNotRun.String():
		return notRunCause(request, attempt, gate)
	case request.Outcome == model.OutcomeUnknown.String():
		return unknownCause(request, attempt)
	case call != nil:
		return fmt.Sprintf("a call that it made failed: %s %s at %s", call.Request, call.Reason, call.Instance)
	case request.Late || request.failed():
		return answeredCause(request, gate)
	default:
		return "answered in time"
	}
}

func notRunCause(request, attempt, gate *Line) string {
	text := "refused as not run: " + request.Reason
	if gate != nil && gate.Outcome == model.OutcomeNotRun.String() {
		text += fmt.Sprintf("; the gate of %s ran %d requests in %d slots and %d waited", gate.Target, gate.Running, gate.Slots, gate.Queued)
	}
	if attempt != nil && attempt.OverBudget {
		text += "; the retry budget was used up"
	}
	return text
}

func unknownCause(request, attempt *Line) string {
	if attempt == nil {
		return "outcome unknown: " + request.Reason
	}
	text := fmt.Sprintf("outcome unknown: %s at %s after %d ms in attempt %d", attempt.Reason, attempt.To, attempt.Took, attempt.Attempt)
	switch {
	case !attempt.Idempotent:
		text += "; it may have run, so it was not sent again"
	case attempt.OverBudget:
		text += "; the retry budget was used up"
	}
	return text
}

func answeredCause(request, gate *Line) string {
	text := fmt.Sprintf("answered with status %d after %d ms", request.Status, request.Took)
	if gate != nil {
		text += fmt.Sprintf("; at %s it waited %d ms and ran %d ms", gate.Target, gate.Waited, gate.Ran)
	}
	return text + fmt.Sprintf("; configuration %d, in force for %d ms", request.Configuration, request.ConfigurationAge)
}

// failed reports whether the line is about a request that was not answered, or
// answered with a status of 500 or above.
func (l *Line) failed() bool {
	const serverErrors = 500
	return l.Outcome != model.OutcomeAnswered.String() || l.Status >= serverErrors
}

// Group counts the failed requests with the same outcome and reason.
type Group struct {
	Outcome, Reason string
	Count           int
	// Example is the ID of one of these requests.
	Example string
}

// Failed groups the failed requests by outcome and reason, the largest group first.
func Failed(lines []Line) []Group {
	groups := make(map[[2]string]*Group)
	for i := range lines {
		line := &lines[i]
		if line.Message != messageRequest || !line.failed() {
			continue
		}
		reason := line.Reason
		if reason == "" {
			reason = fmt.Sprintf("status-%d", line.Status)
		}
		key := [2]string{line.Outcome, reason}
		if groups[key] == nil {
			groups[key] = &Group{Outcome: line.Outcome, Reason: reason, Example: line.Request}
		}
		groups[key].Count++
	}
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// String formats the line for operators.
func (l Line) String() string {
	at := l.Time.UTC().Format("15:04:05.000")
	switch l.Message {
	case messageAttempt:
		return fmt.Sprintf("%s %s attempt %d at %s: %s %s after %d ms, %d ms left; next %s", at, l.Instance,
			l.Attempt, l.To, l.Outcome, l.Reason, l.Took, l.Left, l.Next)
	case messageGate:
		return fmt.Sprintf("%s %s gate of %s: %s %s, waited %d ms, ran %d ms; %d of %d slots, %d queued", at, l.Instance,
			l.Target, l.Outcome, l.Reason, l.Waited, l.Ran, l.Running, l.Slots, l.Queued)
	case messageRequest:
		return fmt.Sprintf("%s %s request %s: %s %s, status %d after %d ms and %d attempts; configuration %d of %d ms", at,
			l.Instance, l.Request, l.Outcome, l.Reason, l.Status, l.Took, l.Attempts, l.Configuration, l.ConfigurationAge)
	default:
		return fmt.Sprintf("%s %s %s", at, l.Instance, l.Message)
	}
}
