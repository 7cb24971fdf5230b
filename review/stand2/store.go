package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the largest number of items of one page of a listing.
const maxPage = 500

// item is a key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	address  string
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// cutAfter is how long a watch waits before it is cut; 0 means that none is.
	cutAfter time.Duration
}

// cutWatches cuts each watch that has waited for a time from now on.
func (s *store) cutWatches(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = after
}

func newStore(host string) (*store, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), listener: l, revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }() // ends with the listener
	return s, nil
}

// put writes a key and returns the revision, whose return is the acknowledgement.
func (s *store) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	i := item{Key: key, Value: text, Revision: s.revision, Created: created}
	s.items[key] = i
	s.record(i)
	return s.revision
}

// remove removes a key and returns the revision.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
	return s.revision
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, struct {
		item
		At uint64 `json:"at"`
	}{i, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	out := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		At      uint64 `json:"at"`
	}{Items: []item{}}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, i)
		}
	}
	out.At = s.revision
	s.mu.Unlock()
	sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
	if len(out.Items) > maxPage {
		out.Items, out.HasMore = out.Items[:maxPage], true
	}
	reply(w, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit, cut := time.Duration(wait)*time.Millisecond, false
	s.mu.Lock()
	if s.cutAfter > 0 && s.cutAfter < limit {
		limit, cut = s.cutAfter, true
	}
	s.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events, at, changed := s.since(query.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if over && cut && len(events) == 0 {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if len(events) > 0 || over {
			reply(w, struct {
				Events []item `json:"events"`
				At     uint64 `json:"at"`
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) []item {
	events := []item{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller sees a broken response
}
