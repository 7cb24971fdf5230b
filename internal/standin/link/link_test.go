package link_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/standin/link"
)

// startEcho starts a TCP server that sends back what it receives, and returns its
// address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return listener.Addr().String()
}

func startLink(t *testing.T, s link.State) (*link.Link, net.Conn) {
	t.Helper()
	l, err := link.Start(link.Config{Target: startEcho(t), State: s, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return l, c
}

// echo sends data, closes the write side and returns what was received.
func echo(t *testing.T, c net.Conn, data []byte) []byte {
	t.Helper()
	go func() {
		_, _ = c.Write(data)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	got, _ := io.ReadAll(c) // a truncated stream may end in a reset
	return got
}

func TestRelayKeepsBytesInOrder(t *testing.T) {
	_, c := startLink(t, link.State{Delay: time.Millisecond, Jitter: time.Millisecond})
	data := bytes.Repeat([]byte("0123456789"), 100_000)
	if got := echo(t, c, data); !bytes.Equal(got, data) {
		t.Errorf("got %d bytes, want %d in order", len(got), len(data))
	}
}

func TestTruncation(t *testing.T) {
	_, c := startLink(t, link.State{TruncateAfter: 1000})
	if got := echo(t, c, make([]byte, 5000)); len(got) > 1000 {
		t.Errorf("got %d bytes, want at most 1000", len(got))
	}
}

func TestCutBlocksBytesUntilItEnds(t *testing.T) {
	for _, cut := range []link.State{{CutForward: true}, {CutBack: true}} {
		l, c := startLink(t, cut)
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if n, _ := c.Read(make([]byte, 1)); n != 0 {
			t.Errorf("%+v: a byte passed while the link was cut", cut)
		}
		l.SetState(link.State{})
		_ = c.SetReadDeadline(time.Time{})
		if n, err := c.Read(make([]byte, 1)); n != 1 {
			t.Errorf("%+v: no byte passed after the cut ended: %v", cut, err)
		}
	}
}

// TestRefusedConnections checks that Refuse affects new connections only and that
// Resume ends it.
func TestRefusedConnections(t *testing.T) {
	l, open := startLink(t, link.State{})
	l.Refuse()
	if c, err := net.Dial("tcp", l.Address()); err == nil {
		c.Close()
		t.Error("a link that refuses connections accepted one")
	}
	if got := echo(t, open, []byte("x")); string(got) != "x" {
		t.Errorf("the open connection returned %q, want x", got)
	}
	if err := l.Resume(); err != nil {
		t.Fatal(err)
	}
	again, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if got := echo(t, again, []byte("y")); string(got) != "y" {
		t.Errorf("the new connection returned %q, want y", got)
	}
}
