package route

import (
	"math"

	"github.com/galenalever/galenalever/internal/model"
)

// destinationOf returns the destination of one request of a route of the table. If
// the route has several services, each one's share of consecutive numbers deviates
// little from its weight.
func (t *Table) destinationOf(r *model.Route, number uint64) *Destination {
	if len(r.Split) == 0 {
		return t.Destination(r.Service)
	}
	return t.Destination(r.Split[weightedIndex(r.Split, number)].Service)
}

// goldenRatio is the fractional part of the golden ratio. The fractional
// parts of its multiples spread evenly over the unit interval.
const goldenRatio = 0.618033988749894848

// weightedIndex returns the position of the service that receives the request with the
// number. The number is reduced to 32 bits, so that a float64 has enough bits for the
// fraction of the product.
func weightedIndex(parts []model.WeightedService, number uint64) int {
	total := 0
	for _, part := range parts {
		total += part.Weight
	}
	_, position := math.Modf(float64(number%(1<<32)) * goldenRatio)
	remaining := position * float64(total)
	for i, part := range parts {
		if remaining < float64(part.Weight) {
			return i
		}
		remaining -= float64(part.Weight)
	}
	return len(parts) - 1
}
