package route

import (
	"cmp"
	"slices"

	"github.com/galenalever/galenalever/internal/model"
)

// EndpointID identifies one run of one backend server instance. Statistics are
// kept for each ID, so a restarted instance starts without any.
type EndpointID struct {
	Instance model.InstanceID
	// Incarnation is 0 while the instance has not announced itself.
	Incarnation model.Incarnation
	// Started is the run of the server as the platform lists it; 0 if unknown.
	Started model.Incarnation
}

// Endpoint is a present backend server, reached through the node beside it. Tables
// share the pointer of an endpoint as long as nothing of it changes.
type Endpoint struct {
	ID     EndpointID
	Domain model.FailureDomain
	// Address is the traffic address of the node.
	Address string
	// Slots is the number of requests that the server runs at a time; 0 means the
	// number that the service declares.
	Slots int
	// ListedEvacuated is true if the server appeared while its failure domain was
	// evacuated: it is not new to the mesh when the domain returns.
	ListedEvacuated bool
}

// Destination is a service with its present endpoints. It is immutable. Tables
// share its pointer as long as nothing of it changes.
type Destination struct {
	Service *model.Service
	// Endpoints are ordered by instance. They leave out those of evacuated failure
	// domains, which are in Evacuated, in the same order.
	Endpoints []*Endpoint
	Evacuated []*Endpoint
	// Generation is the number of the table that introduced the destination.
	Generation uint64
}

// newDestination returns the destination of a service, with the endpoints of
// previous where they did not change. It returns previous itself if nothing
// did.
func newDestination(
	service *model.Service, members []model.Member, evacuated evacuatedDomains, previous *Destination, generation uint64,
) *Destination {
	endpoints := presentEndpoints(members)
	evacuated.markNew(endpoints)
	if previous != nil {
		reuseEndpoints(endpoints, previous.Endpoints)
		reuseEndpoints(endpoints, previous.Evacuated)
	}
	usable, withheld := evacuated.split(endpoints)
	if previous != nil && *previous.Service == *service &&
		slices.Equal(previous.Endpoints, usable) && slices.Equal(previous.Evacuated, withheld) {
		return previous
	}
	return &Destination{Service: service, Endpoints: usable, Evacuated: withheld, Generation: generation}
}

func presentEndpoints(members []model.Member) []*Endpoint {
	endpoints := make([]*Endpoint, 0, len(members))
	newest := newestByAddress(members)
	for _, m := range members {
		if absenceOf(m, newest) != Present {
			continue
		}
		endpoints = append(endpoints, &Endpoint{
			ID:      EndpointID{Instance: m.ID, Incarnation: m.Announced.Incarnation, Started: m.Started},
			Domain:  m.Domain,
			Address: m.Addresses.Traffic,
			Slots:   m.Slots,
		})
	}
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.ID.Instance, b.ID.Instance) })
	return endpoints
}

// Absence states why a member is no endpoint.
type Absence string

// The values of Absence.
const (
	Present   Absence = ""
	Draining  Absence = "draining"   // announced or listed as leaving
	Starting  Absence = "starting"   // its node runs and its server is not ready
	Gone      Absence = "gone"       // shut down, or no longer listed
	Unlisted  Absence = "unlisted"   // neither announced nor listed as live
	NoAddress Absence = "no-address" // no address for traffic is known
	Replaced  Absence = "replaced"   // a newer server has its address
)

// absenceOf returns why a member is no endpoint. newest is the result of newestByAddress.
func absenceOf(m model.Member, newest map[string]model.InstanceID) Absence {
	switch {
	case !m.Present():
		return absenceByState(m)
	case m.Addresses.Traffic == "":
		return NoAddress
	case newest[m.Addresses.Traffic] != m.ID:
		return Replaced
	}
	return Present
}

func absenceByState(m model.Member) Absence {
	switch {
	case m.Listed == model.ListingRemoved || m.Announced.Presence == model.PresenceGone:
		return Gone
	case m.Listed == model.ListingLeaving || m.Announced.Presence == model.PresenceLeaving:
		return Draining
	case m.Announced.Presence == model.PresenceStarting:
		return Starting
	}
	return Unlisted
}

// Absent returns the members of a service that are no endpoints now, with the reason,
// except for those that are gone.
func Absent(members []model.Member) map[model.InstanceID]Absence {
	out := make(map[model.InstanceID]Absence)
	newest := newestByAddress(members)
	for _, m := range members {
		if a := absenceOf(m, newest); a != Present && a != Gone {
			out[m.ID] = a
		}
	}
	return out
}

// newestByAddress returns the newest present server at each address: the platform may
// still list one that has been replaced.
func newestByAddress(members []model.Member) map[string]model.InstanceID {
	newest := make(map[string]model.Member, len(members))
	for _, m := range members {
		known, ok := newest[m.Addresses.Traffic]
		if m.Present() && (!ok || m.NewerThan(known)) {
			newest[m.Addresses.Traffic] = m
		}
	}
	out := make(map[string]model.InstanceID, len(newest))
	for address, m := range newest {
		out[address] = m.ID
	}
	return out
}

// reuseEndpoints replaces equal endpoints by those of old. Both are ordered by
// instance.
func reuseEndpoints(endpoints, old []*Endpoint) {
	j := 0
	for i, e := range endpoints {
		for j < len(old) && old[j].ID.Instance < e.ID.Instance {
			j++
		}
		if j < len(old) && old[j].sameServer(e) {
			endpoints[i] = old[j]
		}
	}
}

// sameServer reports whether both endpoints are equal, whenever they appeared.
func (e *Endpoint) sameServer(other *Endpoint) bool {
	a, b := *e, *other
	a.ListedEvacuated, b.ListedEvacuated = false, false
	return a == b
}
