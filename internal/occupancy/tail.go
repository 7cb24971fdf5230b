package occupancy

import (
	"bytes"
	"net/http"
)

const (
	// trailerBytes is the size of the largest trailer that http.Server reads: that of
	// its buffer.
	trailerBytes = 4 << 10
	// usualLines is the number of lines that the charge of a connection covers, as it
	// does for fields of a header.
	usualLines = 64
	// maxLines is the number of the shortest fields ("a:", CR, LF) in trailerBytes.
	maxLines = trailerBytes / 4
)

// tail charges the trailer of a chunked body before http.Server parses it. Where the
// trailer begins is not known then, so the lines of the last trailerBytes at least are
// charged as if they were fields.
type tail struct {
	// bytes and lines are those of the last two pieces of trailerBytes or more; the
	// second one is still growing.
	bytes, lines [2]int
	charged      int64
}

// add records a part of the body and returns by how much the charge changes.
func (t *tail) add(p []byte) int64 {
	if t.bytes[1] >= trailerBytes {
		t.bytes, t.lines = [2]int{t.bytes[1]}, [2]int{t.lines[1]}
	}
	t.bytes[1] += len(p)
	if len(p) <= trailerBytes { // otherwise it was read into the buffer of the handler
		t.lines[1] += bytes.Count(p, newline)
	}
	return t.set(charge(t.lines[0] + t.lines[1]))
}

// end replaces the charge by that of the trailer and returns by how much it changes.
func (t *tail) end(trailer http.Header) int64 {
	lines := 0
	for _, values := range trailer {
		lines += max(1, len(values))
	}
	return t.set(min(charge(lines), t.charged))
}

func (t *tail) set(charged int64) int64 {
	change := charged - t.charged
	t.charged = charged
	return change
}

// charge returns what a trailer of some lines occupies, in bytes.
func charge(lines int) int64 {
	if lines <= usualLines {
		return 0
	}
	return trailerBytes + int64(min(lines, maxLines)-usualLines)*FieldBytes
}
