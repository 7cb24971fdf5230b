package chaos

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// stableWindow is the time after an unplanned failure during which requests may
	// still be lost.
	stableWindow = 3 * time.Second
	// finishWithin is the time after SIGTERM until which a node must finish the requests
	// that it takes, unless their work lasts into the last part of the grace time.
	finishWithin = 3 * time.Second
	// lastPart is the divisor of the grace time for its last part.
	lastPart = 6
	// lossSlack is the time within which a node that closes a connection may leave a
	// complete request without an answer, because the two cross.
	lossSlack = 200 * time.Millisecond
)

// lostCheck finds requests that nodes lost around their planned stops.
type lostCheck struct {
	stops       []mesh.Stop
	disruptions []mesh.Disruption
	// executions returns the executions of a request.
	executions func(id string) []backend.Execution
}

func newLostCheck(m *mesh.Mesh) lostCheck {
	return lostCheck{stops: m.Stops(), disruptions: m.Disruptions(), executions: m.Ledger.Of}
}

// failedStops describes each planned stop that outlived its grace time or failed.
func (c lostCheck) failedStops() []string {
	var failed []string
	for _, s := range c.stops {
		if s.Err != nil {
			failed = append(failed, fmt.Sprintf("planned stop of %s at %s, ended after %s: %v",
				s.Node, s.Signalled.UTC().Format("15:04:05.000"), s.Ended.Sub(s.Signalled).Round(time.Millisecond), s.Err))
		}
	}
	return failed
}

// lost describes each request that a node lost around its planned stop, and each one
// whose loss has a cause other than its deadline.
func (c lostCheck) lost(records []load.Record) (lost, excused []string) {
	for _, record := range records {
		for _, send := range record.Sends {
			stop, ok := c.stopDuring(send)
			if !ok {
				continue
			}
			runs := c.runsOf(record, send)
			fault, excuse := faultOf(send, runs), c.excuse(record, send, stop, runs)
			switch {
			case fault == "":
			case excuse == deadlinePassed: // the usual answer of a node
			case excuse == "":
				lost = append(lost, fault+": "+c.describe(record, send, stop, runs))
			default:
				excused = append(excused, excuse+": "+c.describe(record, send, stop, runs))
			}
		}
	}
	return lost, excused
}

// isLost reports whether the node lost a request that it had during its planned stop.
func (c lostCheck) isLost(record load.Record, send load.Send, stop mesh.Stop, runs []backend.Execution) bool {
	return faultOf(send, runs) != "" && c.excuse(record, send, stop, runs) == ""
}

// stopDuring returns the planned stop during which a node had a request.
func (c lostCheck) stopDuring(send load.Send) (mesh.Stop, bool) {
	for _, s := range c.stops {
		if s.Callers == send.Address && !send.End().Before(s.Signalled) && !send.At.After(s.Ended) {
			return s, true
		}
	}
	return mesh.Stop{}, false
}

// runsOf returns the executions that began between a send and its end.
func (c lostCheck) runsOf(record load.Record, send load.Send) []backend.Execution {
	var runs []backend.Execution
	for _, e := range c.executions(record.ID) {
		if !e.Began.Before(send.At) && !e.Began.After(send.End()) {
			runs = append(runs, e)
		}
	}
	return runs
}

// faultOf says how a request was lost, or returns "". A node that closes a connection
// may leave a request that it has not passed on without an answer only at once.
func faultOf(send load.Send, runs []backend.Execution) string {
	switch {
	case send.Result == load.ResultCut && len(runs) > 0:
		return "no whole answer after the request was passed on"
	case send.Result == load.ResultCut && !send.Written.IsZero() && send.End().Sub(send.Written) > lossSlack:
		return "no answer to a request that was sent completely"
	case send.Result == load.ResultUnknown && isNodeFailure(send.Status) && atWork(runs, send.End()):
		return "broken off by the node while its server was at work"
	}
	return ""
}

func isNodeFailure(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// atWork reports whether a server was at work at a time, or had been interrupted in its
// work before.
func atWork(runs []backend.Execution, at time.Time) bool {
	for _, e := range runs {
		if !e.Completed || e.Ended.After(at) {
			return true
		}
	}
	return false
}

const deadlinePassed = "deadline passed"

// excuse returns the cause of the loss of a request if it is not the planned stop.
func (c lostCheck) excuse(record load.Record, send load.Send, stop mesh.Stop, runs []backend.Execution) string {
	limit := record.Workload.Deadline()
	switch {
	case limit > 0 && send.Took >= limit:
		return deadlinePassed
	case lastsIntoLastPart(send, stop, runs):
		return "at work at the end of the grace time"
	case c.disrupted(send, stop, runs):
		return "unplanned failure"
	}
	return ""
}

// lastsIntoLastPart reports whether a request came soon after SIGTERM and its server was
// at work in the last part of the grace time.
func lastsIntoLastPart(send load.Send, stop mesh.Stop, runs []backend.Execution) bool {
	sent := send.At
	if !send.Written.IsZero() {
		sent = send.Written
	}
	if sent.Sub(stop.Signalled) > finishWithin {
		return false
	}
	end := stop.Signalled.Add(stop.Grace)
	begin := end.Add(-stop.Grace / lastPart)
	for _, e := range runs {
		if e.Began.Before(end) && (e.Ended.IsZero() || e.Ended.After(begin)) {
			return true
		}
	}
	return false
}

// disrupted reports whether the node that took a request, or an instance that ran it,
// had an unplanned failure shortly before the request or during it.
func (c lostCheck) disrupted(send load.Send, stop mesh.Stop, runs []backend.Execution) bool {
	concerned := map[string]bool{stop.Node: true}
	for _, e := range runs {
		concerned[e.Server] = true
	}
	for _, d := range c.disruptions {
		if concerned[d.Node] && d.Overlaps(send.At.Add(-stableWindow), send.End()) {
			return true
		}
	}
	return false
}

// describe describes a send with times relative to the SIGTERM of the node.
func (c lostCheck) describe(record load.Record, send load.Send, stop mesh.Stop, runs []backend.Execution) string {
	var b strings.Builder
	since := func(t time.Time) string { return seconds(t.Sub(stop.Signalled)) }
	fmt.Fprintf(&b, "node %s, SIGTERM at %s, ended %s after it; %s %s %s, timeout %s, %s; sent %s",
		stop.Node, stop.Signalled.UTC().Format("15:04:05.000"), since(stop.Ended), record.ID, record.Workload.Method,
		record.Workload.Path, record.Workload.Deadline().Round(time.Millisecond), framing(record.Workload), since(send.At))
	if !send.Written.IsZero() {
		fmt.Fprintf(&b, ", last byte %s", since(send.Written))
	}
	fmt.Fprintf(&b, ", end %s (%s, status %d, %s)", since(send.End()), send.Result, send.Status, send.Detail)
	for _, e := range runs {
		fmt.Fprintf(&b, "; ran at %s %s", e.Server, since(e.Began))
		switch {
		case e.Ended.IsZero():
			b.WriteString(", still at work")
		case e.Completed:
			fmt.Fprintf(&b, " to %s, completed", since(e.Ended))
		default:
			fmt.Fprintf(&b, " to %s, interrupted", since(e.Ended))
		}
		for _, other := range c.stops {
			if other.Node == e.Server && other.Node != stop.Node && !other.Ended.Before(send.At) && !other.Signalled.After(send.End()) {
				fmt.Fprintf(&b, " (its node: SIGTERM %s, ended %s)", since(other.Signalled), since(other.Ended))
			}
		}
	}
	return b.String()
}

func framing(w load.Workload) string {
	switch {
	case w.BodyTime > 0:
		return "body with pauses"
	case w.Chunked:
		return "body in chunks"
	case w.BodyBytes > 0:
		return "body with a length"
	default:
		return "no body"
	}
}

// seconds formats a signed duration in seconds.
func seconds(d time.Duration) string { return fmt.Sprintf("%+.3fs", d.Seconds()) }
