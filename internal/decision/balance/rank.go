package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalever/galenalever/internal/model"
)

// localPerRemote is the number of servers of the caller's failure domain between two
// servers of other domains in the order of preference.
const localPerRemote = 3

// Server identifies a server to Rank. Local is true if it is in the caller's failure
// domain.
type Server struct {
	Instance model.InstanceID
	Local    bool
}

// Rank returns the positions of servers in the caller's order of preference: by
// rendezvous hash, with localPerRemote servers of the caller's failure domain before
// each server of another one. The order differs between callers, so that the load of a large
// service spreads while each caller keeps connections to few servers.
func Rank(caller model.InstanceID, servers []Server) []int {
	var local, remote []int
	for _, i := range byHash(string(caller), servers) {
		if servers[i].Local {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	order := make([]int, 0, len(servers))
	for len(local) > 0 || len(remote) > 0 {
		n := min(localPerRemote, len(local))
		order, local = append(order, local[:n]...), local[n:]
		n = min(1, len(remote))
		order, remote = append(order, remote[:n]...), remote[n:]
	}
	return order
}

// byHash returns the positions of servers by descending rendezvous hash.
func byHash(key string, servers []Server) []int {
	order := make([]int, len(servers))
	weights := make([]uint64, len(servers))
	for i, s := range servers {
		order[i] = i
		weights[i] = rendezvousWeight(key, s.Instance)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(servers[a].Instance, servers[b].Instance))
	})
	return order
}

// Owner returns the position of the server, out of count, that stores the record of an
// idempotency key, or None if all servers are excluded. It depends only on the key, the
// instances and the exclusions, so nodes that exclude the same servers compute the same
// owner.
func Owner(key string, count int, instance func(int) model.InstanceID, excluded func(int) bool) int {
	owner, best := None, uint64(0)
	for i := range count {
		if excluded(i) {
			continue
		}
		w := rendezvousWeight(key, instance(i))
		if owner < 0 || w > best || (w == best && instance(i) < instance(owner)) {
			owner, best = i, w
		}
	}
	return owner
}

func rendezvousWeight(key string, instance model.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(instance))
	return d.Sum64()
}
