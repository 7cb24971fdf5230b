package load

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Result tells what a caller saw of one send.
type Result string

// The results of a send.
const (
	// ResultAnswered is a whole answer to the caller's own request.
	ResultAnswered Result = "answered"
	// ResultNotRun and ResultUnknown are refusals by the mesh.
	ResultNotRun  Result = "not run"
	ResultUnknown Result = "unknown"
	// ResultFailed is a whole answer of a server with an error status.
	ResultFailed Result = "failed"
	// ResultCut is a connection that broke before the answer was whole.
	ResultCut Result = "cut"
	// ResultWrong is an answer that looks whole but is not the caller's own.
	ResultWrong Result = "wrong"
)

// Results lists all results in the order of reports.
var Results = []Result{ResultAnswered, ResultNotRun, ResultUnknown, ResultFailed, ResultCut, ResultWrong}

// Send is one send of a request and its result.
type Send struct {
	// Address is the callers' address that took the request.
	Address string
	At      time.Time
	Took    time.Duration
	Result  Result
	// Detail is the status and reason, or the error.
	Detail string
}

// Record is the history of one request.
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

// Violation is a broken promise and the request that shows it.
type Violation struct {
	Promise string
	Record  Record
}

// String describes the violation as one line.
func (v Violation) String() string { return v.Promise + ": " + v.Record.String() }

// Ledger tells how often a request ran.
type Ledger interface {
	Count(id string) int
}

// Violations checks all requests against the ledger.
func Violations(records []Record, ledger Ledger) []Violation {
	var violations []Violation
	for _, r := range records {
		for _, promise := range broken(r, ledger.Count(r.ID)) {
			violations = append(violations, Violation{Promise: promise, Record: r})
		}
	}
	return violations
}

// broken returns the promises that one request shows to be broken.
func broken(r Record, executions int) []string {
	var promises []string
	saw := func(result Result) bool {
		return slices.ContainsFunc(r.Sends, func(s Send) bool { return s.Result == result })
	}
	all := func(result Result) bool {
		return !slices.ContainsFunc(r.Sends, func(s Send) bool { return s.Result != result })
	}
	if saw(ResultWrong) {
		promises = append(promises, "the answer is not whole or not its own")
	}
	if !r.Workload.Idempotent && executions > 1 {
		promises = append(promises, fmt.Sprintf("a request that is not idempotent ran %d times", executions))
	}
	if all(ResultNotRun) && executions > 0 {
		promises = append(promises, "a request refused as not run did run")
	}
	if saw(ResultAnswered) && executions == 0 {
		promises = append(promises, "an answered request never ran")
	}
	return promises
}

// CountResults returns the number of requests by the result of their last send.
func CountResults(records []Record) map[Result]int {
	counts := make(map[Result]int)
	for _, r := range records {
		counts[r.Last().Result]++
	}
	return counts
}

// Summary returns one line for each shape, result and detail of the last sends
// that were not answered, with the number of requests, sorted.
func Summary(records []Record) []string {
	counts := make(map[string]int)
	for _, r := range records {
		if last := r.Last(); last.Result != ResultAnswered {
			counts[fmt.Sprintf("%s %s: %s", r.Workload.Name, last.Result, withoutAddresses(last.Detail))]++
		}
	}
	lines := make([]string, 0, len(counts))
	for _, line := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%4d  %s", counts[line], line))
	}
	return lines
}

// address matches a host:port or an URL, which differ between equal errors.
var address = regexp.MustCompile(`"?(https?://[^"]*"|\d+\.\d+\.\d+\.\d+:\d+)`)

func withoutAddresses(detail string) string { return address.ReplaceAllString(detail, "ADDRESS") }
