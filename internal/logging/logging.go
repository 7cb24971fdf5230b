// Package logging writes structured logs without ever blocking: lines wait in a
// bounded queue for one writer, and those that find it full are dropped and
// counted.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// capacity bounds the lines that wait for the writer.
	capacity = 2048
	// reserve is the part of the queue, as 1/reserve, that is kept for warnings
	// and errors.
	reserve = 4
	// batchBytes is the size up to which waiting lines are written together.
	batchBytes = 16 << 10
	// reportInterval is the least time between two lines about dropped lines.
	reportInterval = time.Second
)

// Writer is the queue and its writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	closed  chan struct{}
	dropped [classes]atomic.Uint64
}

// The classes of lines by their level.
const (
	classDebug = iota
	classInfo
	classWarn
	classError
	classes
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

// NewWriter starts the writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan []byte, capacity),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Handler returns a handler whose lines pass through the queue. The function
// makes the handler that encodes them.
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

// Close writes the waiting lines and ends the writer, at most until the context
// ends.
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
	limit := capacity
	if level < slog.LevelWarn {
		limit -= capacity / reserve
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

// fill adds lines that wait already, up to batchBytes.
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

// flush writes a batch. A log that cannot be written has nowhere to be reported.
func (w *Writer) flush(batch []byte) { _, _ = w.out.Write(batch) }

// enqueuer takes encoded lines.
type enqueuer struct{ writer *Writer }

// Write implements io.Writer. The handler has checked that there is room; a line
// that lost the race for it is dropped by the handler's rules for errors.
func (e enqueuer) Write(line []byte) (int, error) {
	select {
	case e.writer.lines <- append([]byte(nil), line...):
		return len(line), nil
	default:
		return 0, errFull
	}
}
