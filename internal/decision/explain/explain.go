// Package explain finds the cause of a failed request in the log lines of any
// number of processes. It is pure: it works on lines that were read before.
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

// Line is one line of a log, with the fields of all decisions on a request.
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
	// The times are in milliseconds.
	Took       int64  `json:"took_ms"`
	Waited     int64  `json:"waited_ms"`
	Ran        int64  `json:"ran_ms"`
	Left       int64  `json:"left_ms"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Slots      int    `json:"slots"`
	Next       string `json:"next"`
	OverBudget bool   `json:"over_budget"`
	Idempotent bool   `json:"idempotent"`
	Late       bool   `json:"late"`
	// Configuration is the revision in force, of the age ConfigurationAge.
	Configuration    uint64 `json:"configuration"`
	ConfigurationAge int64  `json:"configuration_age_ms"`
}

// The messages of the lines on a request.
const (
	messageRequest = "request"
	messageAttempt = "attempt"
	messageGate    = "gate"
)

// Parse reads one line. Text before the JSON object, as collectors of logs add
// it, is passed over.
func Parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("no JSON object in %q", firstBytes(text))
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil {
		return Line{}, fmt.Errorf("%q: %w", firstBytes(text), err)
	}
	return line, nil
}

func firstBytes(text []byte) []byte {
	const shown = 40
	return text[:min(len(text), shown)]
}

// Course is what is known of one request.
type Course struct {
	// Lines are those of the request and of the calls that it made, in order of
	// time.
	Lines []Line
	// Cause names what decided the end of the request.
	Cause string
}

// Request returns the course of one request. Its calls have IDs that begin with
// its own and a dot.
func Request(lines []Line, id string) Course {
	var c Course
	for _, line := range lines {
		if line.Request == id || strings.HasPrefix(line.Request, id+".") {
			c.Lines = append(c.Lines, line)
		}
	}
	slices.SortStableFunc(c.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	c.Cause = cause(c.Lines, id)
	return c
}

// cause derives the cause from the last line of each kind.
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
		return "unknown: the caller's node has no line of the request's end"
	}
	switch {
	case request.Outcome == model.OutcomeNotRun.String():
		return refusal(request, attempt, gate)
	case request.Outcome == model.OutcomeUnknown.String():
		return lost(request, attempt)
	case call != nil:
		return fmt.Sprintf("a call that it made failed: %s %s at %s", call.Request, call.Reason, call.Instance)
	case request.Late || request.failed():
		return late(request, gate)
	default:
		return "answered in time"
	}
}

func refusal(request, attempt, gate *Line) string {
	text := "refused as not run: " + request.Reason
	if gate != nil && gate.Outcome == model.OutcomeNotRun.String() {
		text += fmt.Sprintf("; the gate of %s ran %d requests in %d slots and %d waited", gate.Target, gate.Running, gate.Slots, gate.Queued)
	}
	if attempt != nil && attempt.OverBudget {
		text += "; the retry budget was used up"
	}
	return text
}

func lost(request, attempt *Line) string {
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

func late(request, gate *Line) string {
	text := fmt.Sprintf("answered with status %d after %d ms", request.Status, request.Took)
	if gate != nil {
		text += fmt.Sprintf("; at %s it waited %d ms and ran %d ms", gate.Target, gate.Waited, gate.Ran)
	}
	return text + fmt.Sprintf("; configuration %d, in force for %d ms", request.Configuration, request.ConfigurationAge)
}

// failed reports whether the line is of a request that its caller did not get
// an answer to.
func (l *Line) failed() bool {
	const serverErrors = 500
	return l.Outcome != model.OutcomeAnswered.String() || l.Status >= serverErrors
}

// Group is the failed requests with one outcome and reason.
type Group struct {
	Outcome, Reason string
	Count           int
	// Example is the ID of one of them.
	Example string
}

// Failed groups the failed requests, the most frequent first.
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

// String returns the line for operators.
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
