package link

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// AdminHandler returns the admin API of the link, which reads and replaces its
// state: GET /admin/state and PUT /admin/state.
func (l *Link) AdminHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/admin/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(l.State()) // the caller may be gone
	})
	r.Put("/admin/state", l.putState)
	return r
}

func (l *Link) putState(w http.ResponseWriter, r *http.Request) {
	var s State
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetState(s)
}
