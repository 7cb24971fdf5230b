// Package logging writes structured logs without ever blocking the callers: one
// goroutine writes the lines of a bounded queue, and lines for which the queue has no
// room are dropped and counted.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the lines that wait for the writer.
	queueCapacity = 2048
	// reserveDivisor sets the part of the queue that is reserved for warnings and
	// errors: 1/reserveDivisor of its capacity.
	reserveDivisor = 4
	// batchBytes is the size in bytes from which no further line is added to a batch.
	batchBytes = 16 << 10
	// reportInterval is the least time between two lines about dropped lines.
	reportInterval = time.Second
)

// Writer writes queued lines in a goroutine of its own. It is safe for concurrent
// use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	closed  chan struct{}
	dropped [classCount]atomic.Uint64
}

// The classes of lines by their level.
const (
	classDebug = iota
	classInfo
	classWarn
	classError
	classCount
)

func classOf(level slog.Level) int {
	switch {
	case level >= slog.LevelError:
		return classError
	case level >= slog.LevelWarn:
		return classWarn
	case level >= slog.LevelInfo:
		return classInfo
	}
	return classDebug
}

// Dropped counts the lines that were not written, by level.
type Dropped struct {
	Debug uint64 `json:"debug"`
	Info  uint64 `json:"info"`
	Warn  uint64 `json:"warn"`
	Error uint64 `json:"error"`
}

// NewWriter starts a writer to out, which Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan []byte, queueCapacity),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Handler returns a handler whose lines pass through the queue. encode returns a
// handler that encodes records to its argument.
func (w *Writer) Handler(encode func(io.Writer) slog.Handler) slog.Handler {
	return &handler{Handler: encode(enqueuer{w}), writer: w}
}

// Dropped returns the counts of lines that were not written.
func (w *Writer) Dropped() Dropped {
	return Dropped{
		Debug: w.dropped[classDebug].Load(), Info: w.dropped[classInfo].Load(),
		Warn: w.dropped[classWarn].Load(), Error: w.dropped[classError].Load(),
	}
}

// Close writes the waiting lines and stops the writer. If the context ends first,
// it returns the context's error. It must be called only once.
func (w *Writer) Close(ctx context.Context) error {
	close(w.closing)
	select {
	case <-w.closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hasRoom reports whether a line of the level may join the queue.
func (w *Writer) hasRoom(level slog.Level) bool {
	limit := queueCapacity
	if level < slog.LevelWarn {
		limit -= queueCapacity / reserveDivisor
	}
	return len(w.lines) < limit
}

func (w *Writer) run() {
	defer close(w.closed)
	var batch []byte
	var reported Dropped
	var reportedAt time.Time
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
		case <-w.closing:
			for rest := w.fill(nil); len(rest) > 0; rest = w.fill(nil) {
				w.flush(rest)
			}
			return
		}
		batch = w.fill(batch)
		if now := w.Dropped(); now != reported && time.Since(reportedAt) >= reportInterval {
			reported, reportedAt = now, time.Now()
			batch = append(batch, droppedLine(now)...)
		}
		w.flush(batch)
	}
}

// fill adds waiting lines to the batch until it holds batchBytes bytes.
func (w *Writer) fill(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// flush writes a batch. A write error is ignored, as only the log could report it.
func (w *Writer) flush(batch []byte) { _, _ = w.out.Write(batch) }

// enqueuer adds encoded lines to the queue.
type enqueuer struct{ writer *Writer }

// Write implements io.Writer. The handler has checked that there is room; if other
// goroutines have used it since, the error makes the handler drop the line.
func (e enqueuer) Write(line []byte) (int, error) {
	select {
	case e.writer.lines <- append([]byte(nil), line...):
		return len(line), nil
	default:
		return 0, errQueueFull
	}
}
