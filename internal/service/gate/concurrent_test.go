package gate_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/datadriven"
)

// sendConcurrently sends one request many times at once and returns the distinct
// results.
func (s *scenario) sendConcurrently(d *datadriven.TestData, n *node) string {
	var count int
	d.ScanArgs(s.t, "count", &count)
	for i := range count {
		d.CmdArgs = append(d.CmdArgs, datadriven.CmdArg{Key: "id", Vals: []string{fmt.Sprint("concurrent-", i)}})
		s.begin(d, n)
		d.CmdArgs = d.CmdArgs[:len(d.CmdArgs)-1]
	}
	results := make(map[string]bool)
	for i := range count {
		result := <-s.sends[fmt.Sprint("concurrent-", i)].result
		results[result] = true
	}
	delete(results, "unknown duplicate (409)") // their number depends on the scheduler
	return strings.Join(slices.Sorted(maps.Keys(results)), "\n") + "\n"
}
