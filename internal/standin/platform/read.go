package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
)

// maxWait bounds the wait time of a watch.
const maxWait = time.Minute

// KeyChange is one entry of a key listing.
type KeyChange struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// KeyList is the response to GET /v1/keys.
type KeyList struct {
	Revision uint64      `json:"revision"`
	Keys     []KeyChange `json:"keys"`
}

// InstanceList is the response to GET /v1/instances.
type InstanceList struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Value is the response to GET /v1/values/{key}.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// Handler returns the API that nodes read.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(p.admit)
	r.Get("/v1/keys", p.serveKeys)
	r.Get("/v1/values/*", p.serveValue)
	r.Get("/v1/instances", p.serveInstances)
	return r
}

// admit counts every call, and refuses calls over the limit or in an outage.
func (p *Platform) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		allowed := p.limiter.allow(p.clock.Now())
		p.mu.Unlock()
		if p.refuseInOutage(w, r) {
			return
		}
		if !allowed {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuseInOutage fails the call if there is an outage. It returns true if it has sent
// a response, and panics with http.ErrAbortHandler if the call gets none.
func (p *Platform) refuseInOutage(w http.ResponseWriter, r *http.Request) bool {
	switch p.Mode().Outage {
	case OutageNone:
		return false
	case OutageClosed:
		panic(http.ErrAbortHandler)
	case OutageSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return true
	}
}

func (p *Platform) serveKeys(w http.ResponseWriter, r *http.Request) {
	query, err := parseWatchQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.waitForChange(r.Context(), query, func() bool { return p.visibleValuesRevision() > query.after })
	if !p.refuseInOutage(w, r) {
		writeJSON(w, p.Keys(query.after))
	}
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	query, err := parseWatchQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.waitForChange(r.Context(), query, func() bool { return p.visibleInstancesRevision() > query.after })
	if !p.refuseInOutage(w, r) {
		writeJSON(w, p.Instances(query.after))
	}
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	p.mu.Lock()
	v, ok := p.values.at(key, p.visibleValuesRevision())
	p.mu.Unlock()
	if !ok || v.deleted {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, Value{Key: key, Revision: v.revision, Value: string(v.value)})
}

// Keys returns the keys that changed after a revision, as nodes see them.
func (p *Platform) Keys(after uint64) KeyList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := KeyList{Revision: p.visibleValuesRevision(), Keys: []KeyChange{}}
	for _, v := range p.values.since(after, list.Revision) {
		list.Keys = append(list.Keys, KeyChange{Key: v.name, Revision: v.revision, Deleted: v.deleted})
	}
	return list
}

// Instances returns the instances that changed after a revision, as nodes see
// them.
func (p *Platform) Instances(after uint64) InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := InstanceList{Revision: p.visibleInstancesRevision(), Instances: []Instance{}}
	for _, v := range p.instances.since(after, list.Revision) {
		v.value.Revision = v.revision
		list.Instances = append(list.Instances, v.value)
	}
	return list
}

// visibleValuesRevision requires that the lock is held.
func (p *Platform) visibleValuesRevision() uint64 {
	if p.mode.Stale {
		return p.staleValuesRevision
	}
	return p.values.revision
}

// visibleInstancesRevision requires that the lock is held.
func (p *Platform) visibleInstancesRevision() uint64 {
	if p.mode.Stale {
		return p.staleInstancesRevision
	}
	return p.instances.revision
}

// watchQuery is the parsed query of a listing. With a wait it is a watch: it waits for
// a change after the revision.
type watchQuery struct {
	after uint64
	wait  time.Duration
}

func parseWatchQuery(r *http.Request) (watchQuery, error) {
	var w watchQuery
	var err error
	query := r.URL.Query()
	if text := query.Get("after"); text != "" {
		if w.after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return w, eris.Errorf("after=%q is not a revision", text)
		}
	}
	if text := query.Get("wait"); text != "" {
		if w.wait, err = time.ParseDuration(text); err != nil {
			return w, eris.Errorf("wait=%q is not a duration", text)
		}
	}
	w.wait = min(w.wait, maxWait)
	return w, nil
}

// waitForChange returns once the condition holds, the wait time is over, an outage
// begins or ctx ends. The condition is called with the lock held.
func (p *Platform) waitForChange(ctx context.Context, query watchQuery, condition func() bool) {
	if query.wait <= 0 {
		return
	}
	expired := make(chan struct{})
	timer := p.clock.AfterFunc(query.wait, func() { close(expired) })
	defer timer.Stop()
	for {
		p.mu.Lock()
		done := condition() || p.mode.Outage != OutageNone
		changed := p.changed
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-expired:
			return
		case <-ctx.Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
