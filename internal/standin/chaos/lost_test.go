package chaos

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

// TestLostCheck checks one request to node "taker", which gets SIGTERM at 0 with a grace
// time of 6 s. Arguments with times are in milliseconds after SIGTERM:
//
//	request: sent, end, and optionally written and began and ended at server "runner";
//	         without ended, the server is still at work. result and status are those that
//	         the client saw, "completed" says that the work ended by itself.
//	fail:    node, from, to: an unplanned failure, for the next request only.
//	stop:    ended: the end of the process of "taker".
func TestLostCheck(t *testing.T) {
	signalled := time.Now()
	at := func(d *datadriven.TestData, key string) time.Time {
		var milliseconds int
		d.ScanArgs(t, key, &milliseconds)
		return signalled.Add(time.Duration(milliseconds) * time.Millisecond)
	}
	stop := mesh.Stop{Node: "taker", Callers: "taker:80", Signalled: signalled, Grace: 6 * time.Second}
	var disruptions []mesh.Disruption
	datadriven.RunTest(t, "testdata/lost", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "stop":
			stop.Ended = at(d, "ended")
			return ""
		case "fail":
			failure := mesh.Disruption{Begin: at(d, "from"), End: at(d, "to")}
			d.ScanArgs(t, "node", &failure.Node)
			disruptions = append(disruptions, failure)
			return ""
		}
		check := lostCheck{
			stops: []mesh.Stop{stop}, disruptions: disruptions,
			executions: func(string) []backend.Execution { return scanExecutions(d, at) },
		}
		disruptions = nil
		lost, excused := check.lost([]load.Record{scanRecord(t, d, at)})
		switch {
		case len(lost) > 0:
			fault, _, _ := strings.Cut(lost[0], ":")
			_, times, _ := strings.Cut(lost[0], "ended ")
			return "lost: " + fault + "\n" + times
		case len(excused) > 0:
			excuse, _, _ := strings.Cut(excused[0], ":")
			return "not lost: " + excuse
		default:
			return "none"
		}
	})
}

// scanExecutions returns the execution that a request of the test describes.
func scanExecutions(d *datadriven.TestData, at func(*datadriven.TestData, string) time.Time) []backend.Execution {
	if !d.HasArg("began") {
		return nil
	}
	e := backend.Execution{Server: "runner", Began: at(d, "began"), Completed: d.HasArg("completed")}
	if d.HasArg("ended") {
		e.Ended = at(d, "ended")
	}
	return []backend.Execution{e}
}

func scanRecord(t *testing.T, d *datadriven.TestData, at func(*datadriven.TestData, string) time.Time) load.Record {
	t.Helper()
	address, timeout := "taker:80", 5000
	d.MaybeScanArgs(t, "to", &address)
	d.MaybeScanArgs(t, "timeout", &timeout)
	send := load.Send{Address: address, At: at(d, "sent"), Result: load.ResultCut}
	send.Took = at(d, "end").Sub(send.At)
	if d.HasArg("result") {
		var result string
		d.ScanArgs(t, "result", &result)
		send.Result = load.Result(result)
	}
	d.MaybeScanArgs(t, "status", &send.Status)
	if d.HasArg("written") {
		send.Written = at(d, "written")
	}
	return load.Record{ID: "r1", Sends: []load.Send{send}, Workload: load.Workload{
		Method: "POST", Path: "/bids/offers/", BodyBytes: 1, Chunked: true, Timeout: time.Duration(timeout) * time.Millisecond,
	}}
}

func TestFailedStopIsReported(t *testing.T) {
	begin := time.Now()
	stop := mesh.Stop{Node: "taker", Signalled: begin, Ended: begin.Add(6 * time.Second), Grace: 6 * time.Second}
	if failed := (lostCheck{stops: []mesh.Stop{stop}}).failedStops(); len(failed) != 0 {
		t.Errorf("findings %q for a stop without an error", failed)
	}
	stop.Err = errors.New("the process did not end")
	failed := lostCheck{stops: []mesh.Stop{stop}}.failedStops()
	if len(failed) != 1 || !strings.Contains(failed[0], "taker") || !strings.Contains(failed[0], "6s") {
		t.Errorf("findings %q, want one that names the node and the time", failed)
	}
}
