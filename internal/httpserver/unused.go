// Package httpserver completes the graceful shutdown of http.Server.
package httpserver

import (
	"net"
	"net/http"
	"sync"
)

// Unused tracks the connections of a server on which no request has arrived yet.
// http.Server.Shutdown waits up to five seconds for each of them, which can be longer
// than the whole shutdown may take. It is safe for concurrent use.
type Unused struct {
	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closing     bool
}

// CloseUnusedOnShutdown makes Shutdown close unused connections at once. It sets the
// ConnState hook and must be called before the server serves.
func CloseUnusedOnShutdown(server *http.Server) *Unused {
	u := &Unused{connections: make(map[net.Conn]struct{})}
	server.ConnState = u.track
	// The server handles no request that it reads after it has called this hook.
	server.RegisterOnShutdown(u.close)
	return u
}

// Count returns the number of unused connections.
func (u *Unused) Count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.connections)
}

func (u *Unused) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(u.connections, conn)
	case u.closing:
		_ = conn.Close()
	default:
		u.connections[conn] = struct{}{}
	}
}

func (u *Unused) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closing = true
	for conn := range u.connections {
		_ = conn.Close()
	}
}
