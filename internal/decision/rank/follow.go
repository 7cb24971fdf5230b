package rank

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// The functions in this file are for a mesh whose nodes do not announce themselves: the
// platform lists backend servers under IDs that their nodes do not know, so nodes are
// ordered by the hash of their control addresses.

const (
	// MaxFollowed is the largest number of nodes that a node follows. If one of two
	// fails, changes still arrive without delay through the other.
	MaxFollowed = 2
	// followedReaders is the number of nodes of a failure domain that read the platform.
	// The nodes next in the order follow all of them.
	followedReaders = 2
	// followFanOut is the number of nodes that follow the same node as their first one.
	// As many follow it as their second one.
	followFanOut = 4
)

// maxDirectTransfer is the longest time that reading the whole configuration may
// take on an idle link. If requests use nine tenths of the link, it takes ten times
// as long, which is still less than the seconds that a change may take to arrive.
const maxDirectTransfer = 100 * time.Millisecond

// LinkCarriesConfiguration reports whether a link can transfer every version of the
// configuration whole. The bandwidth is in bits per second, 0 for a link without a
// limit.
func LinkCarriesConfiguration(bandwidth float64, configurationBytes int) bool {
	return bandwidth == 0 || 8*float64(configurationBytes) <= bandwidth*maxDirectTransfer.Seconds()
}

// Following determines from where a node gets changes.
type Following struct {
	// Reader is true if the node reads the platform for its failure domain.
	Reader bool
	// Upstreams are the nodes to follow; a vacant place has no ID. Those of a reader are
	// nodes that can read in its place if its own link is slow.
	Upstreams [MaxFollowed]model.Member
}

// Follow returns the place of self in its failure domain. All but readers follow nodes
// that precede them in the order, so there is no cycle even if the nodes' views differ.
// Each node in current keeps its place while it is available and near its ideal
// position. isWide reports whether the link of the node at a control address is known
// to carry the configuration.
func Follow(
	view *members.View, self model.Self, current [MaxFollowed]model.InstanceID, isWide func(address string) bool, seen Evidence,
) Following {
	var preceding []*model.Member
	own := keyOf(self.Addresses.Control)
	nodes := nodesByAddress(view, self.Domain)
	for _, m := range nodes {
		if !seen.Silent(m.ID) && keyOf(m.Addresses.Control).compare(own) < 0 {
			preceding = append(preceding, m)
		}
	}
	if len(preceding) < followedReaders {
		return Following{Reader: true, Upstreams: substitutes(view, nodes, self, current, isWide, seen)}
	}
	var out Following
	taken := make(map[model.InstanceID]bool, MaxFollowed)
	unavailable := func(id model.InstanceID) bool { return taken[id] || seen.Busy(id) }
	t := tree{candidates: preceding, readers: followedReaders, fanOut: followFanOut}
	first := parentPosition(len(preceding), followedReaders, followFanOut)
	for i := range out.Upstreams {
		ideal := min(first+i, len(preceding)-1)
		chosen := withinTolerance(preceding, ideal, current[i])
		if chosen == nil || unavailable(chosen.ID) {
			chosen = t.choose(ideal, self, unavailable)
		}
		if chosen != nil {
			out.Upstreams[i] = *chosen
			taken[chosen.ID] = true
		}
	}
	return out
}

// MayFollow reports whether a node may follow the peer at a control address, which
// reported its contact with the platform. A node that is not a reader follows only nodes
// that precede it, so it may follow those that follow others. A reader with a slow link
// follows only nodes that read the platform; of those that read in the interim it follows
// only nodes that precede it, so that two nodes that both look for a node to follow do
// not choose each other.
func MayFollow(self model.Self, reader bool, address string, c model.PlatformContact) bool {
	switch c {
	case model.ContactCurrent:
		return true
	case model.ContactInterim:
		return !reader || keyOf(address).compare(keyOf(self.Addresses.Control)) < 0
	case model.ContactRelayed:
		return !reader
	default:
		return false
	}
}

// addressKey orders the nodes of a mesh by their control addresses.
type addressKey struct {
	hash    uint64
	address string
}

func keyOf(address string) addressKey {
	return addressKey{hash: members.Hash(model.InstanceID(address)), address: address}
}

func (k addressKey) compare(other addressKey) int {
	return cmp.Or(cmp.Compare(k.hash, other.hash), cmp.Compare(k.address, other.address))
}

// nodesByAddress returns the eligible members of a failure domain in the order of their
// control addresses. Of several members with the same address, as after a restart of a
// server, it returns the newest.
func nodesByAddress(view *members.View, domain model.FailureDomain) []*model.Member {
	newest := make(map[string]*model.Member)
	for m := range view.EachInDomain(domain) {
		known, ok := newest[m.Addresses.Control]
		if Eligible(m) && (!ok || m.NewerThan(*known)) {
			newest[m.Addresses.Control] = m
		}
	}
	keys := make([]addressKey, 0, len(newest))
	for address := range newest {
		keys = append(keys, keyOf(address))
	}
	slices.SortFunc(keys, addressKey.compare)
	out := make([]*model.Member, 0, len(keys))
	for _, k := range keys {
		out = append(out, newest[k.address])
	}
	return out
}

// SortAddresses sorts control addresses in the order of the nodes.
func SortAddresses(addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int { return keyOf(a).compare(keyOf(b)) })
}

// substitutes returns the nodes that self, a reader, may follow if its link is slow: those
// of its failure domain whose links are wide, then the other readers of its own failure
// domain, then those of other domains. Each node in current keeps its place while it is
// available.
func substitutes(
	view *members.View, nodes []*model.Member, self model.Self, current [MaxFollowed]model.InstanceID,
	isWide func(address string) bool, seen Evidence,
) [MaxFollowed]model.Member {
	var candidates []*model.Member
	for _, m := range nodes {
		if isWide(m.Addresses.Control) {
			candidates = append(candidates, m)
		}
	}
	candidates = append(candidates, readers(nodes, seen)...)
	var remote []*model.Member
	for _, domain := range otherDomains(view, self.Domain) {
		remote = append(remote, readers(nodesByAddress(view, domain), seen)...)
	}
	candidates = append(candidates, rotateByHash(remote, self.ID)...)
	var out [MaxFollowed]model.Member
	taken := map[string]bool{self.Addresses.Control: true}
	fill := func(i int, accept func(m *model.Member) bool) {
		for _, m := range candidates {
			if out[i].ID == "" && accept(m) && !taken[m.Addresses.Control] && !seen.Silent(m.ID) && !seen.Busy(m.ID) {
				taken[m.Addresses.Control] = true
				out[i] = *m
			}
		}
	}
	for i, id := range current {
		fill(i, func(m *model.Member) bool { return m.ID == id })
	}
	for i := range out {
		fill(i, func(*model.Member) bool { return true })
	}
	return out
}

// readers returns the nodes of a failure domain that read the platform.
func readers(nodes []*model.Member, seen Evidence) []*model.Member {
	var out []*model.Member
	for _, m := range nodes {
		if !seen.Silent(m.ID) && len(out) < followedReaders {
			out = append(out, m)
		}
	}
	return out
}
