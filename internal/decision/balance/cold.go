package balance

import "time"

const (
	// unknownColdShare is the share of its usual requests that a cold server gets if no
	// latency is known: cold servers are about half as fast.
	unknownColdShare = 0.5
	// peakUtilization is the share of its usual capacity that a failure domain uses at its
	// peak. A domain that still offers that much keeps all of its requests.
	peakUtilization = 0.75
)

// coldShares tells which share of its usual requests each cold server of a pool gets: the
// rate that it accepts, relative to that at which it usually serves.
type coldShares struct{ usualLatency time.Duration }

// newColdShares derives the usual latency from the warm servers, or else from the cold
// ones. Cold candidates must be among the first SubsetSize servers of the pool.
func newColdShares(pool Pool) coldShares {
	var sum, count [2]time.Duration // of warm and of cold servers
	for i := range min(pool.Len(), SubsetSize) {
		s := pool.At(i)
		if s.Latency == 0 {
			continue
		}
		group := 0
		if s.ColdRatePerSlot > 0 {
			group = 1
		}
		sum[group] += s.Latency
		count[group]++
	}
	for group := range sum {
		if count[group] > 0 {
			return coldShares{usualLatency: sum[group] / count[group]}
		}
	}
	return coldShares{}
}

// of returns the share of a server; 1 if it is warm.
func (c coldShares) of(s Statistics) float64 {
	switch {
	case s.ColdRatePerSlot <= 0:
		return 1
	case c.usualLatency == 0:
		return unknownColdShare
	default:
		return min(1, s.ColdRatePerSlot*c.usualLatency.Seconds())
	}
}

// ofAll returns the mean share of the candidates.
func (c coldShares) ofAll(pool Pool, list *candidates) float64 {
	if list.cold == 0 || list.count == 0 {
		return 1
	}
	sum := 0.0
	for _, position := range list.positions[:list.count] {
		sum += c.of(pool.At(position))
	}
	return sum / float64(list.count)
}

// divert decides whether a request leaves the caller's failure domain because its servers
// are so cold that they cannot take what they usually get, while others can. It does
// not wait for their refusals, which would cost each request two hops. Nothing is diverted
// to a chosen remote server that is the worse one even so.
func (c coldShares) divert(pool Pool, local, remote *candidates, localChoice, remoteChoice int, crossDomainPenalty, now time.Duration, random Source) bool {
	if local.cold == 0 || local.count == 0 || remote.count == 0 {
		return false
	}
	l, r := pool.At(localChoice), pool.At(remoteChoice)
	if r.saturated(now) || r.cost(now) > l.cost(now)+crossDomainPenalty {
		return false
	}
	kept := c.ofAll(pool, local) / (c.ofAll(pool, remote) * peakUtilization)
	return kept < 1 && randomFloat(random) >= kept
}
