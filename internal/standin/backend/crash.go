package backend

import (
	"net"
	"time"
)

// listenRetryDelay is the time between two attempts to listen after a crash.
const listenRetryDelay = 10 * time.Millisecond

// Crash calls Config.OnCrash if it is set. Otherwise it resets all connections
// without responses and refuses new ones until the restart time is over. It has no
// effect on a server that is closed or has already crashed and not restarted.
func (s *Server) Crash() {
	if s.config.OnCrash != nil {
		s.config.OnCrash()
		return
	}
	s.mu.Lock()
	if s.closed || s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.crashes++
	server := s.http
	s.abortConnections()
	s.restarts.Add(1)
	s.mu.Unlock()
	s.healthy.set(false)
	_ = server.Close() // an error would concern connections that are aborted anyway
	time.AfterFunc(s.config.RestartTime, s.restart)
}

// abortConnections makes the operating system send a TCP reset when the connections
// are closed. The lock must be held.
func (s *Server) abortConnections() {
	for c := range s.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

// restart listens on the same address again. While the address is in use, it
// retries.
func (s *Server) restart() {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		s.restarts.Done()
		return
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(listenRetryDelay, s.restart)
		return
	}
	s.serve(listener)
	s.restarts.Done()
}
