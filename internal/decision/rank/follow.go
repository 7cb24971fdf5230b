package rank

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// MaxFollowed is the largest number of nodes that a node follows if its link cannot
// carry the configuration. If one of two fails, changes still arrive without delay
// through the other.
const MaxFollowed = 2

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

// MayFollow reports whether a node may follow the peer at a control address, which
// reported its contact with the platform. A peer in ContactInterim may be followed
// only by nodes after it in the order of the address hashes, so that two nodes that
// both look for a node to follow do not choose each other.
func MayFollow(self model.Self, address string, c model.PlatformContact) bool {
	switch c {
	case model.ContactCurrent:
		return true
	case model.ContactInterim:
		own, other := addressHash(self.Addresses.Control), addressHash(address)
		return cmp.Or(cmp.Compare(other, own), cmp.Compare(address, self.Addresses.Control)) < 0
	default:
		return false
	}
}

func addressHash(address string) uint64 { return members.Hash(model.InstanceID(address)) }

// Follow returns the nodes that self polls for the configuration. Each node in current
// keeps its index while it is available. The vacant indexes are filled first from the
// failure domain of self, in an order that differs between nodes, which spreads the
// load. An index that cannot be filled holds a member without an ID.
func Follow(view *members.View, self model.Self, current [MaxFollowed]model.InstanceID, seen Evidence) [MaxFollowed]model.Member {
	var out [MaxFollowed]model.Member
	taken := map[string]bool{self.Addresses.Control: true}
	available := func(m *model.Member) bool {
		return m.Present() && m.Addresses.Control != "" && !taken[m.Addresses.Control] && !seen.Silent(m.ID) && !seen.Busy(m.ID)
	}
	vacant := 0
	for i, id := range current {
		if m, ok := view.Get(id); ok && available(&m) {
			out[i] = m
			taken[m.Addresses.Control] = true
		} else {
			vacant++
		}
	}
	if vacant == 0 {
		return out
	}
	for _, m := range byPreference(view, self) {
		i := slices.IndexFunc(out[:], func(o model.Member) bool { return o.ID == "" })
		if i < 0 {
			break
		}
		if available(&m) {
			out[i] = m
			taken[m.Addresses.Control] = true
		}
	}
	return out
}

// byPreference returns all members, those of the failure domain of self first, and
// otherwise in an order that differs between nodes.
func byPreference(view *members.View, self model.Self) []model.Member {
	list := view.All()
	preference := func(m model.Member) uint64 {
		return members.Hash(self.ID + "|" + model.InstanceID(m.Addresses.Control))
	}
	distance := func(m model.Member) int {
		if m.Domain == self.Domain {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b model.Member) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(preference(a), preference(b)), cmp.Compare(a.ID, b.ID))
	})
	return list
}
