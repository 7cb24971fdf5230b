package gate_test

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// earlyUpload is the size in bytes of an upload: more than a gate buffers.
	earlyUpload = 640 << 10
	// earlyAfter is the number of its bytes after which the server responds. The rest is
	// less than http.Server discards.
	earlyAfter  = 448 << 10
	uploadPiece = 8 << 10
	uploadPause = time.Millisecond
)

// readEarly reads an upload, of which each word is its place, and responds after earlyAfter
// bytes. It returns what is wrong with the upload, or an empty text.
func readEarly(conn net.Conn, body io.Reader, response string) string {
	problem, word := "", make([]byte, 8)
	for read := 0; ; read += len(word) {
		if read == earlyAfter {
			_, _ = io.WriteString(conn, response)
		}
		_, err := io.ReadFull(body, word)
		switch {
		case errors.Is(err, io.EOF) && read != earlyUpload:
			return fmt.Sprintf("%s; looks whole after %d bytes", problem, read)
		case err != nil:
			return problem // the upload was cut
		case binary.BigEndian.Uint64(word) != uint64(read) && problem == "":
			problem = fmt.Sprintf("other bytes from %d on", read)
		}
	}
}

// sendUpload sends an upload to a gate until the gate closes the connection, without
// "Expect: 100-continue".
func sendUpload(conn net.Conn, chunked bool) {
	header := make(http.Header)
	hop.Request{ID: "upload", Service: serviceName, Class: model.ClassShort, Attempt: 1, Timeout: 5 * time.Second}.Encode(header)
	framing, format := fmt.Sprintf("Content-Length: %d", earlyUpload), "%[2]s"
	if chunked {
		framing, format = "Transfer-Encoding: chunked", "%[1]x\r\n%[2]s\r\n"
	}
	_, _ = fmt.Fprintf(conn, "POST /units HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s\r\n\r\n", hop.HeaderRequest, header.Get(hop.HeaderRequest), framing)
	data := make([]byte, uploadPiece)
	for offset := 0; offset < earlyUpload; offset += uploadPiece {
		for i := 0; i < uploadPiece; i += 8 {
			binary.BigEndian.PutUint64(data[i:], uint64(offset+i))
		}
		if _, err := fmt.Fprintf(conn, format, uploadPiece, data); err != nil {
			return
		}
		time.Sleep(uploadPause)
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// TestEarlyResponseLeavesNoGapInUpload guards against a server that responds before it has
// read an upload, reads on, and gets the rest of it with pieces missing.
func TestEarlyResponseLeavesNoGapInUpload(t *testing.T) {
	for name, head := range map[string]string{
		"no length": "Connection: close\r\n\r\nlarge",
		"chunked":   "Transfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n",
		"length":    "Content-Length: 5\r\n\r\nlarge",
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/chunked=%t", name, chunked), func(t *testing.T) {
				t.Parallel()
				problems := make(chan string, 1)
				n := startRawServer(t, nil, func(conn *net.TCPConn, r *http.Request) {
					problem := readEarly(conn, r.Body, "HTTP/1.1 413 Too Large\r\n"+head)
					_ = conn.Close()
					problems <- problem
				})
				conn, err := net.Dial("tcp", n.address)
				must(err)
				defer conn.Close()
				go sendUpload(conn, chunked)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must(err)
				defer response.Body.Close()
				_, _ = io.Copy(io.Discard, response.Body) // until the gate has ended the call
				if problem := <-problems; problem != "" {
					t.Error(problem)
				}
			})
		}
	}
}
