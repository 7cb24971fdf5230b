package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// PublishResponse is the response to PUT and DELETE /admin/values/{key}.
type PublishResponse struct {
	Revision uint64 `json:"revision"`
}

// AdminHandler returns the API with which operators publish values and list
// instances, and tests set the mode. Its calls do not count against the limit.
func (p *Platform) AdminHandler() http.Handler {
	r := chi.NewRouter()
	r.Put("/admin/values/*", p.putValue)
	r.Delete("/admin/values/*", p.deleteValue)
	r.Put("/admin/instances/{id}", p.putInstance)
	r.Delete("/admin/instances/{id}", p.deleteInstance)
	r.Post("/admin/mode", p.postMode)
	r.Get("/admin/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) })
	return r
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, ErrTooLarge.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, err := p.Put(chi.URLParam(r, "*"), value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	writeJSON(w, PublishResponse{Revision: revision})
}

func (p *Platform) deleteValue(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, PublishResponse{Revision: p.Delete(chi.URLParam(r, "*"))})
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if err := decodeJSON(w, r, &i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.ID = chi.URLParam(r, "id")
	p.PutInstance(i)
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	p.RemoveInstance(chi.URLParam(r, "id"))
}

func (p *Platform) postMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := decodeJSON(w, r, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(m)
}

func decodeJSON(w http.ResponseWriter, r *http.Request, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
