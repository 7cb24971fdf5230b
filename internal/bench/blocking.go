package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Head-of-line blocking: reads of 20 ms at a third of the capacity, uploads 50
// times as long that would hold four of six slots of each server.
const (
	blockingRead       = 20 * time.Millisecond
	blockingUpload     = 50 * blockingRead
	blockingReadRate   = 0.33 * crestWorkers * 6 / 0.020
	blockingUploadRate = 24.0
	blockingLasts      = 12 * time.Second
)

type blockingCommand struct{ options }

// Run implements the command.
func (c *blockingCommand) Run(w io.Writer) error { return c.run(w, blocking) }

func blocking(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Head-of-line blocking of short work behind long work",
		Setup: fmt.Sprintf("reads of %s at %.0f/s, uploads of %s at %.0f/s, %d servers x 6 slots; seed %d",
			blockingRead, blockingReadRate, blockingUpload, blockingUploadRate, crestWorkers, o.Seed),
		Columns: []string{"policy", "reads", "p50", "p99", "p99.9", "reads refused", "uploads answered", "uploads refused"},
	}
	variants := []variant{
		{name: "baseline: one shared class", tree: treeSettings{queue: boundedQueue, uploadClass: "short", deadline: crestDeadline}},
		{name: "product: classes", tree: treeSettings{queue: boundedQueue, uploadClass: "long", deadline: crestDeadline}},
	}
	for _, v := range variants {
		reads, uploads, err := playBoth(ctx, o, v)
		if err != nil {
			return table, err
		}
		r, u := summarise(reads, inPhase(0)), summarise(uploads, inPhase(0))
		table.Rows = append(table.Rows, []string{
			v.name, fmt.Sprint(r.total), milliseconds(r.quantile(50)), milliseconds(r.quantile(99)), milliseconds(r.quantile(99.9)),
			percent(r.notRun, r.total), percent(u.answered, u.total), percent(u.notRun, u.total),
		})
	}
	return table, nil
}

// playBoth plays reads and uploads at the same time.
func playBoth(ctx context.Context, o options, v variant) (reads, uploads []sample, err error) {
	m, err := startMesh(ctx, o, meshSettings{workers: crestWorkers, domains: 1, tree: v.tree, latency: blockingRead, arguments: v.arguments})
	if err != nil {
		return nil, nil, err
	}
	readers := newCaller(m.Callers(), http.MethodGet, readPath, blockingRead)
	uploaders := newCaller(m.Callers(), http.MethodPost, uploadPath, blockingUpload)
	defer readers.close()
	defer uploaders.close()
	var playing sync.WaitGroup
	playing.Go(func() {
		arrivals := schedule([]phase{{rate: blockingUploadRate, lasts: blockingLasts}}, o.Seed+1)
		uploads = play(ctx, arrivals, func(i int) result { return uploaders.send(ctx, i) })
	})
	arrivals := schedule([]phase{{rate: blockingReadRate, lasts: blockingLasts}}, o.Seed)
	reads = play(ctx, arrivals, func(i int) result { return readers.send(ctx, i) })
	playing.Wait()
	return reads, uploads, m.Close(closeLimit)
}
