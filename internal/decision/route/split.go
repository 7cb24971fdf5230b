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

// Part is one of the destinations of a route.
type Part struct {
	Destination *Destination
	// Weight is the declared weight, 1 for the only destination of a route without a split.
	Weight int
	// Share is the part of the requests that it gets, from 0 to 1.
	Share float64
}

// Parts returns all destinations of a route of the table, in the order of the declaration.
func (t *Table) Parts(r *model.Route) []Part {
	if len(r.Split) == 0 {
		return []Part{{Destination: t.Destination(r.Service), Weight: 1, Share: 1}}
	}
	total := totalWeight(r.Split)
	parts := make([]Part, len(r.Split))
	for i, part := range r.Split {
		parts[i] = Part{Destination: t.Destination(part.Service), Weight: part.Weight, Share: float64(part.Weight) / float64(max(total, 1))}
	}
	if total == 0 {
		parts[len(parts)-1].Share = 1 // as weightedIndex decides
	}
	return parts
}

func totalWeight(parts []model.WeightedService) int {
	total := 0
	for _, part := range parts {
		total += part.Weight
	}
	return total
}

// goldenRatio is the fractional part of the golden ratio. The fractional
// parts of its multiples spread evenly over the unit interval.
const goldenRatio = 0.618033988749894848

// weightedIndex returns the position of the service that receives the request with the
// number. The number is reduced to 32 bits, so that a float64 has enough bits for the
// fraction of the product.
func weightedIndex(parts []model.WeightedService, number uint64) int {
	_, position := math.Modf(float64(number%(1<<32)) * goldenRatio)
	remaining := position * float64(totalWeight(parts))
	for i, part := range parts {
		if remaining < float64(part.Weight) {
			return i
		}
		remaining -= float64(part.Weight)
	}
	return len(parts) - 1
}
