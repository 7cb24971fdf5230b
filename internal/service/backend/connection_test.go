package backend

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// halfReportedConn is a connection whose writes end with writeErr, or, if stuck, at their
// deadline. Reads see the end of the stream.
type halfReportedConn struct {
	net.Conn
	writeErr error
	stuck    bool
	begun    chan struct{}
	deadline chan struct{}
}

func (c *halfReportedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *halfReportedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

func (c *halfReportedConn) Write(b []byte) (int, error) {
	close(c.begun)
	if c.stuck {
		<-c.deadline
		return 1, os.ErrDeadlineExceeded
	}
	if c.writeErr != nil {
		<-c.deadline // the error is on its way to the writer when the reader sees the end
		return 1, c.writeErr
	}
	return len(b), nil
}

// TestResetReportedToWriterIsNotEndOfStream guards against a reset that only the writer is
// told of: for the reader, a response without a length would end there.
func TestResetReportedToWriterIsNotEndOfStream(t *testing.T) {
	for name, test := range map[string]struct {
		conn halfReportedConn
		want error
	}{
		"reset during a write": {halfReportedConn{writeErr: &net.OpError{Err: os.NewSyscallError("write", syscall.ECONNRESET)}}, errReset},
		"closed by the server": {halfReportedConn{writeErr: &net.OpError{Err: os.NewSyscallError("write", syscall.EPIPE)}}, io.EOF},
		"write in progress":    {halfReportedConn{stuck: true}, io.EOF},
		"request written":      {halfReportedConn{}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			inner := &test.conn
			inner.begun, inner.deadline = make(chan struct{}), make(chan struct{})
			conn := &trackedConn{Conn: inner}
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write(make([]byte, 2))
			}()
			<-inner.begun
			if _, err := conn.Read(make([]byte, 1)); err != test.want {
				t.Errorf("%v, want %v", err, test.want)
			}
			<-written
		})
	}
}
