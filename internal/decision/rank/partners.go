package rank

import (
	"math/rand/v2"
	"slices"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// Target is a destination of announcements. An announcement goes to one of the
// candidates, which are tried in order.
type Target struct {
	// Name identifies the target among those of one node.
	Name string
	// Candidates is never empty.
	Candidates []model.Member
}

// AnnounceTargets returns the targets to which self sends a record that is new to it,
// given the failure domain of the record's instance. A node that is not a reader sends
// it to one reader of its failure domain. A reader sends it to the other readers, and a
// record of its failure domain also to one reader of each other domain.
func AnnounceTargets(view *members.View, self model.Self, reader bool, recordDomain model.FailureDomain, excluded Excluded) []Target {
	otherReaders := withoutSelf(ReadersOf(view, self.Domain, excluded), self)
	if !reader {
		return singleTarget("readers", rotateByHash(otherReaders, self.ID))
	}
	var targets []Target
	for _, m := range otherReaders {
		targets = append(targets, singleTarget("reader "+string(m.ID), []model.Member{m})...)
	}
	if recordDomain != self.Domain {
		return targets
	}
	for _, domain := range otherDomains(view, self.Domain) {
		candidates := rotateByHash(ReadersOf(view, domain, excluded), self.ID)
		targets = append(targets, singleTarget("domain "+string(domain), candidates)...)
	}
	return targets
}

func singleTarget(name string, candidates []model.Member) []Target {
	if len(candidates) == 0 {
		return nil
	}
	return []Target{{Name: name, Candidates: candidates}}
}

// ReaderPartners returns the nodes that a reader polls in turn: the other
// readers of its failure domain and one reader of each other domain.
func ReaderPartners(view *members.View, self model.Self, excluded Excluded) []model.Member {
	partners := withoutSelf(ReadersOf(view, self.Domain, excluded), self)
	for _, domain := range otherDomains(view, self.Domain) {
		candidates := rotateByHash(ReadersOf(view, domain, excluded), self.ID)
		if len(candidates) > 0 {
			partners = append(partners, candidates[0])
		}
	}
	return partners
}

// RandomPartner returns a random other eligible node of self's failure domain or, if it
// has none, of the first domain that has one. It returns false if there is none at all.
func RandomPartner(view *members.View, self model.Self, rng *rand.Rand) (model.Member, bool) {
	candidates := eligibleInDomain(view, self.Domain)
	candidates = slices.DeleteFunc(candidates, func(m *model.Member) bool { return m.ID == self.ID })
	for _, domain := range view.Domains() {
		if len(candidates) == 0 && domain != self.Domain {
			candidates = eligibleInDomain(view, domain)
		}
	}
	if len(candidates) == 0 {
		return model.Member{}, false
	}
	return *candidates[rng.IntN(len(candidates))], true
}

// RandomNode returns a random eligible node of any failure domain, except self and the
// excluded ones. It is for a mesh whose nodes do not announce themselves, so it recognises
// self by its address. It returns false if there is none.
func RandomNode(view *members.View, self model.Self, excluded Excluded, rng *rand.Rand) (model.Member, bool) {
	var candidates []*model.Member
	for _, domain := range view.Domains() {
		candidates = append(candidates, eligibleInDomain(view, domain)...)
	}
	candidates = slices.DeleteFunc(candidates, func(m *model.Member) bool {
		return m.Addresses.Control == self.Addresses.Control || excluded(m.ID)
	})
	if len(candidates) == 0 {
		return model.Member{}, false
	}
	return *candidates[rng.IntN(len(candidates))], true
}

func withoutSelf(list []model.Member, self model.Self) []model.Member {
	return slices.DeleteFunc(list, func(m model.Member) bool { return m.ID == self.ID })
}

func otherDomains(view *members.View, own model.FailureDomain) []model.FailureDomain {
	return slices.DeleteFunc(view.Domains(), func(d model.FailureDomain) bool { return d == own })
}

// rotateByHash rotates the list by a hash of the node's ID, which spreads the nodes
// over the list.
func rotateByHash[T any](list []T, id model.InstanceID) []T {
	if len(list) == 0 {
		return nil
	}
	start := int(members.Hash(id) % uint64(len(list)))
	return append(slices.Clone(list[start:]), list[:start]...)
}
