package load

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Result is the outcome of one send as the caller sees it.
type Result string

// The results of a send.
const (
	// ResultAnswered is a complete response to the caller's own request.
	ResultAnswered Result = "answered"
	// ResultNotRun and ResultUnknown are failures reported by the mesh: the request
	// did not run, or may have run.
	ResultNotRun  Result = "not run"
	ResultUnknown Result = "unknown"
	// ResultFailed is a complete response of a server with an error status.
	ResultFailed Result = "failed"
	// ResultCut is a connection that was lost, or a call that timed out, before the
	// response was complete.
	ResultCut Result = "cut"
	// ResultWrong is a response with status 200 that is truncated or belongs to
	// another request.
	ResultWrong Result = "wrong"
)

// Results lists all results in the order in which reports print them.
var Results = []Result{ResultAnswered, ResultNotRun, ResultUnknown, ResultFailed, ResultCut, ResultWrong}

// Send is one send of a request and its result.
type Send struct {
	// Address is the node's address to which the request was sent.
	Address string
	// At is the time of the send, Took the time until its result.
	At     time.Time
	Took   time.Duration
	Result Result
	// Written is the time at which the last byte of the request was sent; zero if that
	// is unknown.
	Written time.Time
	// Status is the HTTP status of the response; 0 if there was none.
	Status int
	// Detail is the HTTP status and the reason given by the mesh, or the error.
	Detail string
}

// End returns the time of the result.
func (s Send) End() time.Time { return s.At.Add(s.Took) }

// Record is one request with all its sends. It has at least one send.
type Record struct {
	// ID is also the ledger ID and the idempotency key.
	ID       string
	Workload Workload
	Sends    []Send
}

// Last returns the last send.
func (r Record) Last() Send { return r.Sends[len(r.Sends)-1] }

// String describes the request with all its sends.
func (r Record) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s:", r.ID, r.Workload.Method, r.Workload.Path)
	for _, s := range r.Sends {
		fmt.Fprintf(&b, " [%s at %s via %s after %s: %s]", s.Result, s.At.UTC().Format("15:04:05.000"),
			s.Address, s.Took.Round(time.Millisecond), s.Detail)
	}
	return b.String()
}

// Violation describes a violated guarantee and the request that shows it.
type Violation struct {
	Description string
	Record      Record
}

// String describes the violation in one line.
func (v Violation) String() string { return v.Description + ": " + v.Record.String() }

// Ledger counts the executions of requests.
type Ledger interface {
	// Count returns the number of executions of the request with an ID.
	Count(id string) int
}

// Violations compares the results of each request with its executions in the ledger
// and returns the violated guarantees.
func Violations(records []Record, ledger Ledger) []Violation {
	var violations []Violation
	for _, r := range records {
		for _, description := range describeViolations(r, ledger.Count(r.ID)) {
			violations = append(violations, Violation{Description: description, Record: r})
		}
	}
	return violations
}

func describeViolations(r Record, executions int) []string {
	var descriptions []string
	saw := func(result Result) bool {
		return slices.ContainsFunc(r.Sends, func(s Send) bool { return s.Result == result })
	}
	all := func(result Result) bool {
		return !slices.ContainsFunc(r.Sends, func(s Send) bool { return s.Result != result })
	}
	if saw(ResultWrong) {
		descriptions = append(descriptions, "the response is incomplete or belongs to another request")
	}
	if !r.Workload.Idempotent && executions > 1 {
		descriptions = append(descriptions, fmt.Sprintf("a request that is not idempotent ran %d times", executions))
	}
	if all(ResultNotRun) && executions > 0 {
		descriptions = append(descriptions, "a request refused as not run did run")
	}
	if saw(ResultAnswered) && executions == 0 {
		descriptions = append(descriptions, "an answered request never ran")
	}
	return descriptions
}

// CountResults counts the requests by the result of their last send.
func CountResults(records []Record) map[Result]int {
	counts := make(map[Result]int)
	for _, r := range records {
		counts[r.Last().Result]++
	}
	return counts
}

// Summary counts the requests by workload and by result and detail of their last
// send, and returns one line for each count, sorted. It leaves out answered requests.
func Summary(records []Record) []string {
	counts := make(map[string]int)
	for _, r := range records {
		if last := r.Last(); last.Result != ResultAnswered {
			counts[fmt.Sprintf("%s %s: %s", r.Workload.Name, last.Result, replaceAddresses(last.Detail))]++
		}
	}
	lines := make([]string, 0, len(counts))
	for _, line := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%4d  %s", counts[line], line))
	}
	return lines
}

// addressPattern matches a host:port or a URL, in which otherwise equal errors
// differ.
var addressPattern = regexp.MustCompile(`"?(https?://[^"]*"|\d+\.\d+\.\d+\.\d+:\d+)`)

func replaceAddresses(detail string) string {
	return addressPattern.ReplaceAllString(detail, "ADDRESS")
}
