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

// followInterval is the time between two calls of a followed time line.
const followInterval = time.Second

type timelineCommand struct {
	nodeFlags
	Since  time.Duration `help:"Only events of the last so long; 0 means all that the nodes keep."`
	Follow bool          `help:"Go on printing new events until interrupted."`
	JSON   bool          `help:"Print one JSON object for each event." name:"json"`
}

// Run implements the command.
func (c *timelineCommand) Run(w io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := status.NewClient(c.Timeout)
	reader := timelineReader{client: client, seen: make(map[string]timeline.Timestamp)}
	addresses := c.addresses(ctx, client)
	after := c.begin(time.Now())
	for _, address := range addresses {
		reader.seen[address] = after
	}
	for {
		events, replies := reader.next(ctx, addresses)
		printEvents(w, events, c.JSON)
		failed := printFailures(c.failureWriter(w), replies)
		if !c.Follow || clock.Wait(ctx, clock.System{}, followInterval) != nil {
			return failed
		}
	}
}

// begin returns the timestamp after which events are shown.
func (c *timelineCommand) begin(now time.Time) timeline.Timestamp {
	if c.Since <= 0 {
		return 0
	}
	return timeline.FromTime(now.Add(-c.Since))
}

// failureWriter keeps JSON output free of text.
func (c *timelineCommand) failureWriter(w io.Writer) io.Writer {
	if c.JSON {
		return io.Discard
	}
	return w
}

// timelineReader remembers the last event seen of each node.
type timelineReader struct {
	client *status.Client
	seen   map[string]timeline.Timestamp
}

// next returns the new events of all nodes in order.
func (r *timelineReader) next(ctx context.Context, addresses []string) ([]timeline.Event, []reply[[]timeline.Event]) {
	replies := ask(addresses, func(address string) ([]timeline.Event, error) {
		return r.client.Timeline(ctx, address, r.seen[address])
	})
	var events []timeline.Event
	for _, reply := range replies {
		events = append(events, reply.value...)
		for _, event := range reply.value {
			r.seen[reply.address] = max(r.seen[reply.address], event.Time)
		}
	}
	timeline.Sort(events)
	return events, replies
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

func nodeWidth(events []timeline.Event) int {
	if len(events) == 0 {
		return 0
	}
	longest := slices.MaxFunc(events, func(a, b timeline.Event) int { return cmp.Compare(len(a.Node), len(b.Node)) })
	return len(longest.Node)
}
