package logging

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
)

var errQueueFull = eris.New("the queue of log lines is full")

// handler drops lines before they are encoded if the queue has no room for them.
type handler struct {
	slog.Handler
	writer *Writer
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if h.writer.hasRoom(r.Level) {
		if err := h.Handler.Handle(ctx, r); err == nil {
			return nil
		}
	}
	h.writer.dropped[classOf(r.Level)].Add(1)
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attrs), writer: h.writer}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), writer: h.writer}
}

// droppedLine encodes a line that reports the lines dropped since the start.
func droppedLine(d Dropped) []byte {
	line, err := json.Marshal(map[string]any{
		"time": time.Now().UTC(), "level": "WARN", "msg": "log lines dropped", "dropped": d,
	})
	if err != nil {
		return nil // not reached: values of these types can always be encoded
	}
	return append(line, '\n')
}
