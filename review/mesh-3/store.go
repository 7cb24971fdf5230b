package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as it appears in responses.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// snapshot is the state of the store at a time.
type snapshot struct {
	at       time.Time
	revision uint64
	items    map[string]item
}

// store is a stand-in for the platform's metadata store. Clients of its HTTP interface can
// only read. Entries with a lease are removed after silence.
type store struct {
	// silence is the time without a heartbeat after which an entry is removed.
	silence time.Duration

	mu        sync.Mutex
	era       uint64
	revision  uint64
	items     map[string]item
	history   []item
	snapshots []snapshot
	// renewed holds the last heartbeat of each entry with a lease.
	renewed map[string]time.Time
	changed chan struct{}
	// away is true while the store breaks off all calls and accepts no writes.
	away bool
}

func newStore(silence time.Duration) *store {
	return &store{
		silence: silence, revision: 411, items: make(map[string]item),
		renewed: make(map[string]time.Time), changed: make(chan struct{}),
	}
}

// serve starts the HTTP interface.
func (s *store) serve(address string) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.handleKey)
	mux.HandleFunc("GET /-/kv-range", s.handleRange)
	mux.HandleFunc("GET /-/kv-watch", s.handleWatch)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go s.expire()
	return server, nil
}

// expire removes the entries whose servers are silent, and keeps snapshots of the state.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		if !s.away {
			for key, at := range s.renewed {
				if now.Sub(at) > s.silence {
					s.removeLocked(key)
				}
			}
			s.snapshots = append(s.snapshots, snapshot{now, s.revision, maps.Clone(s.items)})
		}
		s.mu.Unlock()
	}
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item and returns when the store acknowledged it; zero while it is away.
func (s *store) put(key string, value []byte, leased bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return time.Time{}
	}
	s.revision++
	next := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		next.Created = old.Created
	}
	if leased {
		next.Lease = 77
		s.renewed[key] = time.Now()
	}
	s.items[key] = next
	s.history = append(s.history, next)
	s.notifyLocked()
	return time.Now()
}

// renew records a heartbeat that changes nothing. It returns false if the entry is missing.
func (s *store) renew(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok || s.away {
		return s.away
	}
	s.renewed[key] = time.Now()
	return true
}

// remove removes an item and returns when the store acknowledged that.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return time.Time{}
	}
	s.removeLocked(key)
	return time.Now()
}

func (s *store) removeLocked(key string) {
	delete(s.renewed, key)
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyLocked()
}

// goAway makes the store break off all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notifyLocked()
}

// returnFromCopy ends goAway with the state of a time. Servers have a whole interval of
// silence from the return on.
func (s *store) returnFromCopy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.snapshots[0]
	for _, candidate := range s.snapshots {
		if candidate.at.After(at) {
			break
		}
		copied = candidate
	}
	s.away = false
	s.era++
	s.revision, s.items = copied.revision, maps.Clone(copied.items)
	s.history = nil
	s.renewed = make(map[string]time.Time)
	for key, i := range s.items {
		if i.Lease != 0 {
			s.renewed[key] = time.Now()
		}
	}
	s.snapshots = nil
	s.notifyLocked()
}

// begin locks the store for one call and sets the common header. It returns false after
// it has broken off the call.
func (s *store) begin(w http.ResponseWriter) bool {
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		breakOff(w)
		return false
	}
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	return true
}

// breakOff resets the connection of a call.
func breakOff(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(conn)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	found, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{found, at})
}

// pageSize is the number of items on a page of a listing.
const pageSize = 50

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page) == pageSize {
			more = true
			break
		}
		page = append(page, s.items[key])
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "has_more": more, "at": at})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	prefix := r.URL.Query().Get("prefix")
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		if !s.begin(w) {
			return
		}
		if after > s.revision || after < s.oldest() {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// oldest returns the revision from which the history is complete.
func (s *store) oldest() uint64 {
	if len(s.history) == 0 {
		return s.revision
	}
	return s.history[0].Revision - 1
}

// entry returns the value that a server writes about itself.
func entry(address string, born int64, service, zone, state string, slots, sequence int) []byte {
	return fmt.Appendf(nil,
		`{"address":%q,"born":%d,"server_info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`,
		address, born, service, zone, slots, state, sequence)
}
