package operator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

func serveHealth(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// serveReady responds with 200, or with 503 and all unmet conditions if there are any.
func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	unmet := s.unmetConditions()
	if len(unmet) == 0 {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	http.Error(w, strings.Join(unmet, "\n"), http.StatusServiceUnavailable)
}

// unmetConditions returns why the node is not ready, one entry for each unmet
// condition: the configuration first, then the others by name.
func (s *Service) unmetConditions() []string {
	var unmet []string
	if s.configuration != nil {
		if c := s.currentConfiguration(); c == nil || c.Cut.Revision == 0 {
			unmet = append(unmet, "config: no configuration is in force")
		}
	}
	s.mu.Lock()
	conditions := maps.Clone(s.readiness)
	s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(conditions)) {
		if err := conditions[name](); err != nil {
			unmet = append(unmet, fmt.Sprintf("%s: %v", name, err))
		}
	}
	return unmet
}

func (s *Service) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.statusReport())
}

func (s *Service) serveSubtree(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, status.NewSubtree(s.currentConfiguration(), model.Key(r.URL.Query().Get("key"))))
}

func (s *Service) serveMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.knownMembers())
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the client has disconnected
}

func (s *Service) statusReport() status.Report {
	self := s.config.Self
	return status.Report{
		Instance:    self.ID,
		Service:     self.Service,
		Domain:      self.Domain,
		Addresses:   self.Addresses,
		Incarnation: self.Incarnation,
		Uptime:      s.clock.Now().Sub(s.started),
		Loop:        s.loop.Stats(),
		Presence:    s.presence(),
		Members:     s.memberCount(),
		Version:     status.NewVersion(s.currentConfiguration()),
		Sections:    s.encodeSections(),
	}
}

// currentConfiguration returns nil if no configuration is in force.
func (s *Service) currentConfiguration() *model.Configuration {
	if s.configuration == nil {
		return nil
	}
	return s.configuration.Configuration().Load()
}

// knownMembers returns all members of the node's view, ordered by ID.
func (s *Service) knownMembers() []model.Member {
	if s.members == nil {
		return []model.Member{}
	}
	all := s.members.View().Load().All()
	slices.SortFunc(all, func(a, b model.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (s *Service) memberCount() int {
	if s.members == nil {
		return 0
	}
	return s.members.View().Load().Len()
}

// presence returns the name of the presence in the node's own member record, which is
// "unknown" if the node does not announce itself.
func (s *Service) presence() string {
	if s.members == nil {
		return model.PresenceUnknown.String()
	}
	own, _ := s.members.View().Load().Get(s.config.Self.ID)
	return own.Announced.Presence.String()
}

// encodeSections returns the sections as JSON. A section that cannot be encoded is
// replaced by the error, so that the others are still shown.
func (s *Service) encodeSections() map[string]json.RawMessage {
	s.mu.Lock()
	sections := maps.Clone(s.sections)
	s.mu.Unlock()
	bodies := make(map[string]json.RawMessage, len(sections))
	for name, f := range sections {
		body, err := json.Marshal(f())
		if err != nil {
			body, _ = json.Marshal(map[string]string{"error": err.Error()})
		}
		bodies[name] = body
	}
	return bodies
}
