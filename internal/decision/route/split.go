package route

import (
	"math"

	"github.com/galenalever/galenalever/internal/model"
)

// destinationOf returns the destination of one request of a route of the table.
// Over consecutive numbers each service of a route with several gets its
// weight's share with little deviation.
func (t *Table) destinationOf(r *model.Route, number uint64) *Destination {
	if len(r.Split) == 0 {
		return t.Destination(r.Service)
	}
	return t.Destination(r.Split[partOf(r.Split, number)].Service)
}

// goldenRatio is the fractional part of the golden ratio. Its multiples, taken
// without their whole part, spread evenly over the unit interval.
const goldenRatio = 0.618033988749894848

// partOf returns the position of the part that takes the request.
func partOf(parts []model.WeightedService, number uint64) int {
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
