package status

import (
	"encoding/json"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// sectionConfig is the section of the config service.
const sectionConfig = "config"

// Evacuation is an evacuated failure domain as a node reports it.
type Evacuation struct {
	Domain model.FailureDomain `json:"domain"`
	// Revision is the revision of the evacuation's document.
	Revision model.Revision `json:"revision"`
	// Since is when the node applied it.
	Since  time.Time `json:"since"`
	Reason string    `json:"reason,omitempty"`
}

// Configuration is the section of the config service.
type Configuration struct {
	// Evacuations are ordered by failure domain.
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuations returns the evacuations that the node applies; none if it reports none.
func (r Report) Evacuations() []Evacuation {
	var c Configuration
	if json.Unmarshal(r.Sections[sectionConfig], &c) != nil {
		return nil
	}
	return c.Evacuations
}
