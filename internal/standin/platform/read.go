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

// maxWait bounds how long a watch waits.
const maxWait = time.Minute

// KeyChange is one entry of a key listing.
type KeyChange struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// KeyList is the answer to GET /v1/keys.
type KeyList struct {
	Revision uint64      `json:"revision"`
	Keys     []KeyChange `json:"keys"`
}

// InstanceList is the answer to GET /v1/instances.
type InstanceList struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Value is the answer to GET /v1/values/{key}.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// Handler returns the reading side, for nodes.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(p.admit)
	r.Get("/v1/keys", p.serveKeys)
	r.Get("/v1/values/*", p.serveValue)
	r.Get("/v1/instances", p.serveInstances)
	return r
}

// admit counts each call, and refuses those over the limit or in an outage.
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

// refuseInOutage answers the call if the platform is down.
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
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.await(r.Context(), watch, func() bool { return p.valuesAt() > watch.after })
	if !p.refuseInOutage(w, r) {
		writeJSON(w, p.Keys(watch.after))
	}
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.await(r.Context(), watch, func() bool { return p.instancesAt() > watch.after })
	if !p.refuseInOutage(w, r) {
		writeJSON(w, p.Instances(watch.after))
	}
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	p.mu.Lock()
	c, ok := p.values.at(key, p.valuesAt())
	p.mu.Unlock()
	if !ok || c.deleted {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, Value{Key: key, Revision: c.revision, Value: string(c.value)})
}

// Keys returns the keys changed after a revision, as a node sees them.
func (p *Platform) Keys(after uint64) KeyList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := KeyList{Revision: p.valuesAt(), Keys: []KeyChange{}}
	for _, c := range p.values.since(after, list.Revision) {
		list.Keys = append(list.Keys, KeyChange{Key: c.name, Revision: c.revision, Deleted: c.deleted})
	}
	return list
}

// Instances returns the instances changed after a revision, as a node sees
// them.
func (p *Platform) Instances(after uint64) InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := InstanceList{Revision: p.instancesAt(), Instances: []Instance{}}
	for _, c := range p.instances.since(after, list.Revision) {
		c.value.Revision = c.revision
		list.Instances = append(list.Instances, c.value)
	}
	return list
}

// valuesAt returns the revision of the values shown. The caller holds the lock.
func (p *Platform) valuesAt() uint64 {
	if p.mode.Stale {
		return p.staleValues
	}
	return p.values.revision
}

// instancesAt is valuesAt for the list of instances.
func (p *Platform) instancesAt() uint64 {
	if p.mode.Stale {
		return p.staleInstances
	}
	return p.instances.revision
}

// watch is the parsed query of a call that may wait.
type watch struct {
	after uint64
	wait  time.Duration
}

func parseWatch(r *http.Request) (watch, error) {
	var w watch
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

// await returns once there is news, the wait is over, an outage begins or the
// caller is gone. The condition is called with the lock held.
func (p *Platform) await(ctx context.Context, w watch, news func() bool) {
	if w.wait <= 0 {
		return
	}
	over := make(chan struct{})
	timer := p.clock.AfterFunc(w.wait, func() { close(over) })
	defer timer.Stop()
	for {
		p.mu.Lock()
		done := news() || p.mode.Outage != OutageNone
		changed := p.changed
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-over:
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
