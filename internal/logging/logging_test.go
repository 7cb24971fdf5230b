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

// stuck is a reader of logs that does not read until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func newLogger(w *logging.Writer) *slog.Logger {
	return slog.New(w.Handler(func(out io.Writer) slog.Handler { return slog.NewJSONHandler(out, nil) }))
}

// TestFloodWithStuckReader logs far more than the queue holds to a reader that
// does not read. Nothing blocks, warnings are kept although lines of lower
// level have been dropped, and every dropped line is counted.
func TestFloodWithStuckReader(t *testing.T) {
	const flood = 20_000
	out := &stuck{release: make(chan struct{})}
	w := logging.NewWriter(out)
	log := newLogger(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range flood {
			log.Info("calm", "number", i)
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
	calm, important := 0, 0
	for line := range bytes.Lines(out.written.Bytes()) {
		var fields struct{ Msg string }
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		switch fields.Msg {
		case "calm":
			calm++
		case "important":
			important++
		}
	}
	dropped := w.Dropped()
	if important != 1 {
		t.Errorf("the warning was written %d times", important)
	}
	if dropped.Info == 0 || uint64(calm)+dropped.Info != flood {
		t.Errorf("%d lines written and %d dropped of %d", calm, dropped.Info, flood)
	}
}
