package dependency

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Status is the knowledge of a State about the last windowLength.
type Status struct {
	Kinds    map[string]KindStatus               `json:"kinds,omitempty"`
	Services map[model.ServiceName]ServiceStatus `json:"calls,omitempty"`
}

// KindStatus describes one kind of requests.
type KindStatus struct {
	// Limited is true while requests are held back.
	Limited bool `json:"limited"`
	// Started, Succeeded and Failed count runs of the window; Failed those that failed
	// because of a call.
	Started   int `json:"started"`
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	// HeldTotal and FailedTotal count since the start of the process, or since the kind
	// was last forgotten.
	HeldTotal   uint64 `json:"held_total"`
	FailedTotal uint64 `json:"failed_total"`
}

// ServiceStatus describes the calls to one service in the window.
type ServiceStatus struct {
	Answered   int `json:"answered"`
	Unanswered int `json:"unanswered"`
}

// Status returns what the state knows at the time now. Kinds and services that have not
// been used for forgetAfter are left out.
func (s *State) Status(now time.Time) Status {
	out := Status{Kinds: make(map[string]KindStatus), Services: make(map[model.ServiceName]ServiceStatus)}
	s.calls.at(now)
	for name, k := range s.kinds {
		if now.Sub(k.lastUsed) > forgetAfter {
			continue
		}
		k.window.at(now)
		failed, succeeded := k.results(s.calls.total.failed)
		out.Kinds[name] = KindStatus{
			Limited: k.limited, Started: k.window.total.started, Succeeded: succeeded, Failed: failed,
			HeldTotal: k.held, FailedTotal: k.lost,
		}
	}
	for name, c := range s.services {
		if now.Sub(c.lastUsed) > forgetAfter {
			continue
		}
		c.window.at(now)
		total := c.window.total
		out.Services[name] = ServiceStatus{Answered: total.ended - total.failed, Unanswered: total.failed}
	}
	return out
}
