package rank

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/model"
)

// MaxFollowed is the number of nodes that a node follows whose link does not carry
// the configuration. With two, one that fails costs no time.
const MaxFollowed = 2

// directTransfer is the longest time that reading the whole configuration may
// take on an idle link. Requests that use nine tenths of the link make it ten
// times as long, which is still less than the seconds that a change may take.
const directTransfer = 100 * time.Millisecond

// LinkCarriesConfiguration reports whether a link can bring each version of a configuration whole.
// The bandwidth is in bits a second, 0 for a link without a limit.
func LinkCarriesConfiguration(bandwidth float64, configurationBytes int) bool {
	return bandwidth == 0 || 8*float64(configurationBytes) <= bandwidth*directTransfer.Seconds()
}

// MayFollow reports whether a node may follow a peer with a control address that told
// of its contact with the platform. A node that reads in the interim may be followed
// by those behind it in one order only, so that two nodes which both look for
// somebody to follow do not choose each other.
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

// Follow returns which nodes a node polls for the configuration, at most one for
// each place. A node that is polled keeps its place while it is able. The others
// are chosen first from the own failure domain and in an order that differs from
// node to node, which spreads the load. A place that none can take holds a member
// without an ID.
func Follow(view *members.View, self model.Self, current [MaxFollowed]model.InstanceID, seen Evidence) [MaxFollowed]model.Member {
	var out [MaxFollowed]model.Member
	taken := map[string]bool{self.Addresses.Control: true}
	able := func(m *model.Member) bool {
		return m.Present() && m.Addresses.Control != "" && !taken[m.Addresses.Control] && !seen.Silent(m.ID) && !seen.Busy(m.ID)
	}
	vacant := 0
	for i, id := range current {
		if m, ok := view.Get(id); ok && able(&m) {
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
		if able(&m) {
			out[i] = m
			taken[m.Addresses.Control] = true
		}
	}
	return out
}

// byPreference returns all members, those of the own failure domain first.
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
