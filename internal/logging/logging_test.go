package logging_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/logging"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func newLogger(w *logging.Writer) *slog.Logger {
	return slog.New(w.Handler(func(out io.Writer) slog.Handler { return slog.NewJSONHandler(out, nil) }))
}

// TestBlockedWriterDropsAndCountsLines logs far more than the queue holds
// while the output blocks. Logging does not block, a warning is kept although
// lines of lower level have been dropped, and every dropped line is counted.
func TestBlockedWriterDropsAndCountsLines(t *testing.T) {
	const infoLines = 20_000
	out := &blockedWriter{release: make(chan struct{})}
	w := logging.NewWriter(out)
	log := newLogger(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range infoLines {
			log.Info("routine", "number", i)
		}
		log.Warn("important")
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked")
	}
	close(out.release)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := w.Close(ctx); err != nil {
		t.Fatal(err)
	}
	infos, warnings := 0, 0
	for line := range bytes.Lines(out.written.Bytes()) {
		var fields struct{ Msg string }
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		switch fields.Msg {
		case "routine":
			infos++
		case "important":
			warnings++
		}
	}
	dropped := w.Dropped()
	if warnings != 1 {
		t.Errorf("the warning was written %d times", warnings)
	}
	if dropped.Info == 0 || uint64(infos)+dropped.Info != infoLines {
		t.Errorf("%d lines written and %d dropped of %d", infos, dropped.Info, infoLines)
	}
}
