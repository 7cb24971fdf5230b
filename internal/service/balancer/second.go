package balancer

import (
	"strings"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
)

// secondView implements balance.SecondPool for an attempt beside the one at first.
type secondView struct {
	poolView
	first *route.Endpoint
}

// SharedFate implements balance.SecondPool.
func (v *secondView) SharedFate(position int) balance.SharedFate {
	e := v.pool.servers[position].endpoint
	switch {
	case hostOf(e.Address) == hostOf(v.first.Address):
		return balance.SharedHost
	case e.Domain == v.first.Domain:
		return balance.SharedDomain
	default:
		return balance.NothingShared
	}
}

// hostOf returns the host of an address of the form host:port.
func hostOf(address string) string { return address[:max(strings.LastIndexByte(address, ':'), 0)] }
