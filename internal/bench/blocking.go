package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Head-of-line blocking: reads of 20 ms at a third of the capacity of six slots per
// server, and uploads that run 50 times as long and would occupy four of the slots of
// each server. Rates are in requests per second.
const (
	blockingReadTime   = 20 * time.Millisecond
	blockingUploadTime = 50 * blockingReadTime
	blockingReadRate   = 0.33 * serverCount * 6 / 0.020
	blockingUploadRate = 24.0
	blockingDuration   = 12 * time.Second
)

type blockingCommand struct{ options }

// Run performs the experiment.
func (c *blockingCommand) Run(w io.Writer) error { return c.run(w, blocking) }

func blocking(ctx context.Context, o options) (Table, error) {
	table := Table{
		Title: "Head-of-line blocking of short work behind long work",
		Setup: fmt.Sprintf("reads of %s at %.0f/s, uploads of %s at %.0f/s, %d servers x 6 slots; seed %d",
			blockingReadTime, blockingReadRate, blockingUploadTime, blockingUploadRate, serverCount, o.Seed),
		Columns: []string{"policy", "reads", "p50", "p99", "p99.9", "reads refused", "uploads answered", "uploads refused"},
	}
	variants := []variant{
		{name: "baseline: one shared class", document: documentSettings{queue: boundedQueue, uploadClass: "short", deadline: readDeadline}},
		{name: "product: classes", document: documentSettings{queue: boundedQueue, uploadClass: "long", deadline: readDeadline}},
	}
	for _, v := range variants {
		reads, uploads, err := runReadsAndUploads(ctx, o, v)
		if err != nil {
			return table, err
		}
		r, u := summarise(reads, inPhase(0)), summarise(uploads, inPhase(0))
		table.Rows = append(table.Rows, []string{
			v.name, fmt.Sprint(r.total), milliseconds(r.percentile(50)), milliseconds(r.percentile(99)), milliseconds(r.percentile(99.9)),
			percent(r.notRun, r.total), percent(u.answered, u.total), percent(u.notRun, u.total),
		})
	}
	return table, nil
}

// runReadsAndUploads sends reads and uploads at the same time to one mesh.
func runReadsAndUploads(ctx context.Context, o options, v variant) (reads, uploads []sample, err error) {
	m, err := startMesh(ctx, o, meshSettings{workers: serverCount, domains: 1, document: v.document, runTime: blockingReadTime, arguments: v.arguments})
	if err != nil {
		return nil, nil, err
	}
	readers := newCaller(m.Callers(), http.MethodGet, readPath, blockingReadTime)
	uploaders := newCaller(m.Callers(), http.MethodPost, uploadPath, blockingUploadTime)
	defer readers.close()
	defer uploaders.close()
	var uploading sync.WaitGroup
	uploading.Go(func() {
		arrivals := poissonSchedule([]phase{{rate: blockingUploadRate, duration: blockingDuration}}, o.Seed+1)
		uploads = runOpenLoop(ctx, arrivals, func(i int) result { return uploaders.send(ctx, i) })
	})
	arrivals := poissonSchedule([]phase{{rate: blockingReadRate, duration: blockingDuration}}, o.Seed)
	reads = runOpenLoop(ctx, arrivals, func(i int) result { return readers.send(ctx, i) })
	uploading.Wait()
	return reads, uploads, m.Close(closeTimeout)
}
