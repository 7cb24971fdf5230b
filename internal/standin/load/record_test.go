package load_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/standin/load"
)

// fixedLedger is a ledger with the same count for every request.
type fixedLedger int

// Count implements load.Ledger.
func (l fixedLedger) Count(string) int { return int(l) }

// TestViolations checks one request in each case: "executions" is its count in the
// ledger, "idempotent" states that its route is idempotent, and the input lists the
// results of its sends.
func TestViolations(t *testing.T) {
	datadriven.RunTest(t, "testdata/violations", func(t *testing.T, d *datadriven.TestData) string {
		var executionCount int
		d.ScanArgs(t, "executions", &executionCount)
		record := load.Record{ID: "r1", Workload: load.Workload{Idempotent: d.HasArg("idempotent")}}
		for result := range strings.SplitSeq(d.Input, ",") {
			record.Sends = append(record.Sends, load.Send{Result: load.Result(strings.TrimSpace(result))})
		}
		var b strings.Builder
		for _, v := range load.Violations([]load.Record{record}, fixedLedger(executionCount)) {
			b.WriteString(v.Description + "\n")
		}
		return b.String()
	})
}
