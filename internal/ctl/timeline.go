package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/status"
	"github.com/galenalever/galenalever/internal/timeline"
)

// followInterval is the time between two queries of the nodes with --follow.
const followInterval = time.Second

// timelineCommand prints the events of the selected nodes.
type timelineCommand struct {
	nodeFlags
	Since  time.Duration `help:"Print only events newer than this; 0 means all that the nodes keep."`
	Follow bool          `help:"Keep printing new events until interrupted."`
	JSON   bool          `help:"Print one JSON object for each event." name:"json"`
}

// Run implements the command.
func (c *timelineCommand) Run(w io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := status.NewClient(c.Timeout)
	reader := timelineReader{client: client, lastSeen: make(map[string]timeline.Timestamp)}
	addresses := c.addresses(ctx, client)
	after := c.sinceTimestamp(time.Now())
	for _, address := range addresses {
		reader.lastSeen[address] = after
	}
	for {
		events, results := reader.next(ctx, addresses)
		printEvents(w, events, c.JSON)
		failed := printFailures(c.failureWriter(w), results)
		if !c.Follow || clock.Wait(ctx, clock.System{}, followInterval) != nil {
			return failed
		}
	}
}

func (c *timelineCommand) sinceTimestamp(now time.Time) timeline.Timestamp {
	if c.Since <= 0 {
		return 0
	}
	return timeline.FromTime(now.Add(-c.Since))
}

// failureWriter returns the writer for failures. It discards them with --json, so
// that the output contains only JSON.
func (c *timelineCommand) failureWriter(w io.Writer) io.Writer {
	if c.JSON {
		return io.Discard
	}
	return w
}

// timelineReader reads the events of nodes. It keeps the timestamp of the last event
// of each node by operator address.
type timelineReader struct {
	client   *status.Client
	lastSeen map[string]timeline.Timestamp
}

// next returns the events of all nodes since the last call in order of time, and the
// result of each call, so that the caller can report failures.
func (r *timelineReader) next(ctx context.Context, addresses []string) ([]timeline.Event, []nodeResult[[]timeline.Event]) {
	results := queryAll(addresses, func(address string) ([]timeline.Event, error) {
		return r.client.Timeline(ctx, address, r.lastSeen[address])
	})
	var events []timeline.Event
	for _, result := range results {
		events = append(events, result.value...)
		for _, event := range result.value {
			r.lastSeen[result.address] = max(r.lastSeen[result.address], event.Time)
		}
	}
	timeline.Sort(events)
	return events, results
}

func printEvents(w io.Writer, events []timeline.Event, asJSON bool) {
	if asJSON {
		encoder := json.NewEncoder(w)
		for _, event := range events {
			_ = encoder.Encode(event) // nothing can be done about a closed output
		}
		return
	}
	width := nodeWidth(events)
	for _, event := range events {
		fmt.Fprintln(w, event.Format(width))
	}
}

// nodeWidth returns the length of the longest node name.
func nodeWidth(events []timeline.Event) int {
	if len(events) == 0 {
		return 0
	}
	longest := slices.MaxFunc(events, func(a, b timeline.Event) int { return cmp.Compare(len(a.Node), len(b.Node)) })
	return len(longest.Node)
}
