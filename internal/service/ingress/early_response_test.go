package ingress_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

const (
	// uploadPiece is the number of bytes that a caller sends at a time, one piece each
	// uploadPause.
	uploadPiece = 8 << 10
	uploadPause = time.Millisecond
	// earlyAfter is the number of bytes of an upload that a server has read when it responds.
	earlyAfter = 32 << 10
)

// fillUpload writes the part of an upload that begins at offset: each word is its place.
func fillUpload(p []byte, offset int) {
	for i := 0; i < len(p); i += 8 {
		binary.BigEndian.PutUint64(p[i:], uint64(offset+i))
	}
}

// readUpload reads an upload and calls responded after earlyAfter bytes. It returns the
// number of bytes, the first position with another byte than was sent, or -1, and the error
// that ended the body.
func readUpload(body io.Reader, respond func()) (size, wrong int, err error) {
	wrong = -1
	got, want := make([]byte, 8), make([]byte, 8)
	for {
		if size == earlyAfter {
			respond()
		}
		n, err := io.ReadFull(body, got)
		fillUpload(want, size)
		for i := range n {
			if got[i] != want[i] && wrong < 0 {
				wrong = size + i
			}
		}
		size += n
		if err != nil {
			return size, wrong, err
		}
	}
}

// sendUpload sends an upload on a connection of its own and returns the response. It stops
// if the node closes the connection.
func sendUpload(t *testing.T, address, path string, size int, chunked bool) rawResponse {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	framing, format := fmt.Sprintf("Content-Length: %d", size), "%[2]s"
	if chunked {
		framing, format = "Transfer-Encoding: chunked", "%[1]x\r\n%[2]s\r\n"
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", path, framing)
		piece := make([]byte, uploadPiece)
		for offset := 0; offset < size; offset += len(piece) {
			fillUpload(piece, offset)
			if _, err := fmt.Fprintf(conn, format, len(piece), piece); err != nil {
				return
			}
			time.Sleep(uploadPause)
		}
		if chunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	response := readRaw(conn, http.MethodPost)
	<-sent
	return response
}

// earlyResponses are responses that a server or a gate sends before it has read the upload.
// Open is true if the response does not end before the connection does, so that the whole
// upload is to be read.
var earlyResponses = map[string]struct {
	text string
	open bool
}{
	"no length":     {"HTTP/1.1 413 Too Large\r\n%s\r\nlarge", true},
	"chunked":       {"HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n%s\r\n5\r\nlarge\r\n", true},
	"length":        {"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n%s\r\nlarge", false},
	"empty":         {"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n%s\r\n", false},
	"part of it":    {"HTTP/1.1 413 Too Large\r\nContent-Length: 10\r\n%s\r\nlarge", true},
	"keeps reading": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n5\r\nlarge\r\n", true},
}

// uploadReader is a server, or a gate if it has an outcome, that responds to an upload early
// and checks what it reads.
type uploadReader struct {
	t       *testing.T
	text    string
	open    bool
	size    int
	outcome model.Outcome // of a gate
	done    chan struct{}
}

func (u *uploadReader) handle(conn *net.TCPConn, r *http.Request) {
	if answerHealthCheck(conn, r) {
		return
	}
	extra := gateHeader(r, u.outcome)
	if extra != "" {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	size, wrong, err := readUpload(r.Body, func() { _, _ = fmt.Fprintf(conn, u.text, extra) })
	if wrong >= 0 {
		u.t.Errorf("byte %d of %d is not the one that was sent, body ends with %v", wrong, size, err)
	}
	switch ended := errors.Is(err, io.EOF); {
	case ended && size != u.size:
		u.t.Errorf("the upload looks whole after %d of %d bytes", size, u.size)
	case !ended && u.open:
		u.t.Errorf("the upload is cut after %d of %d bytes: %v", size, u.size, err)
	}
	_ = conn.Close()
	u.done <- struct{}{}
}

// forEachUpload runs a test for each early response and each framing of the upload.
func forEachUpload(t *testing.T, test func(t *testing.T, reader *uploadReader, chunked bool)) {
	for name, response := range earlyResponses {
		for _, size := range []int{160 << 10, 320 << 10, 640 << 10} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/chunked=%t", name, size, chunked), func(t *testing.T) {
					t.Parallel()
					test(t, &uploadReader{t: t, text: response.text, open: response.open, size: size, done: make(chan struct{}, 1)}, chunked)
				})
			}
		}
	}
}

// TestEarlyResponseLeavesNoGapInUpload guards against a server that responds before it has
// read an upload, reads on, and gets the rest of it with pieces missing.
func TestEarlyResponseLeavesNoGapInUpload(t *testing.T) {
	forEachUpload(t, func(t *testing.T, reader *uploadReader, chunked bool) {
		m := newRawMesh(t)
		m.addRealGate(t, "gate", startRawServer(t, reader.handle).address())
		m.start(0)
		m.publish()
		sendUpload(t, m.listener.Addr().String(), "/write/upload", reader.size, chunked)
		<-reader.done
	})
}

// TestEarlyResponseOfGateLeavesNoGapInUpload guards against the same between two nodes, also
// if the gate refuses the upload.
func TestEarlyResponseOfGateLeavesNoGapInUpload(t *testing.T) {
	for _, outcome := range []model.Outcome{model.OutcomeAnswered, model.OutcomeUnknown} {
		t.Run(outcome.String(), func(t *testing.T) {
			forEachUpload(t, func(t *testing.T, reader *uploadReader, chunked bool) {
				reader.outcome = outcome
				if outcome != model.OutcomeAnswered || reader.text == earlyResponses["no length"].text {
					reader.open = false // the caller's node takes no such response from another node
				}
				m := newRawMesh(t)
				m.addRawMember("gate", startRawServer(t, reader.handle).address(), 7)
				m.start(0)
				m.publish()
				sendUpload(t, m.listener.Addr().String(), "/write/upload", reader.size, chunked)
				<-reader.done
			})
		})
	}
}
