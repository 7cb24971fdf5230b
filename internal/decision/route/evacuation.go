package route

import (
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// evacuatedDomains are the failure domains whose servers must get no requests.
type evacuatedDomains map[model.FailureDomain]*model.Evacuation

// equal reports whether both sets hold the same domains.
func (e evacuatedDomains) equal(other evacuatedDomains) bool {
	if len(e) != len(other) {
		return false
	}
	for domain := range e {
		if _, ok := other[domain]; !ok {
			return false
		}
	}
	return true
}

// split moves the endpoints of evacuated domains to a list of their own. Both lists keep
// the order.
func (e evacuatedDomains) split(endpoints []*Endpoint) (usable, evacuated []*Endpoint) {
	if len(e) == 0 {
		return endpoints, nil
	}
	usable = make([]*Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if _, ok := e[endpoint.Domain]; ok {
			evacuated = append(evacuated, endpoint)
		} else {
			usable = append(usable, endpoint)
		}
	}
	return usable, evacuated
}

// markNew sets ListedEvacuated of the endpoints of evacuated domains that no older table
// has. It is called before the endpoints are shared.
func (e evacuatedDomains) markNew(endpoints []*Endpoint) {
	for _, endpoint := range endpoints {
		_, endpoint.ListedEvacuated = e[endpoint.Domain]
	}
}

// withEvacuations returns the destination with other evacuated domains, and itself if
// that changes nothing.
func (d *Destination) withEvacuations(evacuated evacuatedDomains, generation uint64) *Destination {
	all := mergeByInstance(d.Endpoints, d.Evacuated)
	usable, withheld := evacuated.split(all)
	if len(usable) == len(d.Endpoints) && slices.Equal(withheld, d.Evacuated) {
		return d
	}
	return &Destination{Service: d.Service, Endpoints: usable, Evacuated: withheld, Generation: generation}
}

// mergeByInstance returns the endpoints of two lists that are ordered by instance, in
// that order.
func mergeByInstance(a, b []*Endpoint) []*Endpoint {
	if len(b) == 0 {
		return a
	}
	out := make([]*Endpoint, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].ID.Instance < b[0].ID.Instance {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}
