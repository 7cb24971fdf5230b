package forward

import (
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// excludeEvacuated keeps the request away from all servers of a failure domain after one
// gate there has refused it as evacuated. The request may have started with a routing
// table from before the evacuation, and each refusal costs a round trip and an attempt.
func (r *requestState) excludeEvacuated(reason model.Reason) {
	if reason != model.ReasonEvacuated {
		return
	}
	for _, e := range r.request.Destination.Endpoints {
		if e.Domain == r.current.Domain && !slices.Contains(r.tried, e) {
			r.tried = append(r.tried, e)
		}
	}
}
