package call

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestBodyOfUnknownLength guards against bodies that are lost, doubled or taken as whole
// around the sizes of the buffers, and against a cut body that looks complete.
func TestBodyOfUnknownLength(t *testing.T) {
	for _, size := range []int{0, 1, smallBody - 1, smallBody, smallBody + 1, BufferLimit, BufferLimit + 1, BufferLimit + 2, 3 * BufferLimit} {
		text := strings.Repeat("x", size)
		for name, r := range map[string]io.Reader{
			"whole": strings.NewReader(text), "halves": iotest.HalfReader(strings.NewReader(text)),
			"end with data": iotest.DataErrReader(strings.NewReader(text)),
		} {
			body, err := ReadBody(r, -1)
			if err != nil {
				t.Errorf("%s, %d bytes: %v", name, size, err)
				continue
			}
			if got, err := io.ReadAll(body.Open()); err != nil || string(got) != text || body.Streamed() != (size > BufferLimit) {
				t.Errorf("%s, %d bytes: %d bytes, streamed %t, error %v", name, size, len(got), body.Streamed(), err)
			}
		}
		if size <= BufferLimit {
			cut := io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))
			if _, err := ReadBody(cut, -1); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d bytes of a cut body: error %v", size, err)
			}
		}
	}
}

// TestEndedAfterLastByte guards against a connection that is kept although a part of the body
// on it has not been read.
func TestEndedAfterLastByte(t *testing.T) {
	small, err := ReadBody(strings.NewReader("small"), 5)
	if err != nil || !small.Ended() {
		t.Errorf("small body: ended %t, %v", small.Ended(), err)
	}
	for _, length := range []int64{3 * BufferLimit, -1} {
		body, err := ReadBody(strings.NewReader(strings.Repeat("x", 3*BufferLimit)), length)
		if err != nil {
			t.Fatal(err)
		}
		reader := body.Open()
		if _, err := io.CopyN(io.Discard, reader, 2*BufferLimit); err != nil || body.Ended() {
			t.Errorf("length %d, a part read: ended %t, %v", length, body.Ended(), err)
		}
		if _, err := io.Copy(io.Discard, reader); err != nil || !body.Ended() {
			t.Errorf("length %d, all read: ended %t, %v", length, body.Ended(), err)
		}
	}
}
