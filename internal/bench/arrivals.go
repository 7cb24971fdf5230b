package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// phase is a period with a constant mean arrival rate.
type phase struct {
	name string
	// rate is the mean number of arrivals per second.
	rate     float64
	duration time.Duration
}

// arrival is one scheduled request of an open loop.
type arrival struct {
	// offset is the time since the start of the schedule.
	offset time.Duration
	// phase is the index of the phase in the schedule.
	phase int
}

// poissonSchedule returns the arrivals of a Poisson process for each phase in
// turn. Arrival times are fixed in advance and do not depend on responses.
func poissonSchedule(phases []phase, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	var arrivals []arrival
	var phaseStart time.Duration
	for i, p := range phases {
		at := phaseStart
		for p.rate > 0 {
			at += time.Duration(random.ExpFloat64() / p.rate * float64(time.Second))
			if at >= phaseStart+p.duration {
				break
			}
			arrivals = append(arrivals, arrival{offset: at, phase: i})
		}
		phaseStart += p.duration
	}
	return arrivals
}

// sample is the result of one arrival. Its latency counts from the scheduled
// arrival time, so that a delay in the generator is part of it.
type sample struct {
	arrival
	latency time.Duration
	result  result
}

// runOpenLoop sends a request at the time of each arrival and waits for all
// results. It returns only the samples sent before ctx ended.
func runOpenLoop(ctx context.Context, arrivals []arrival, send func(i int) result) []sample {
	samples := make([]sample, len(arrivals))
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var inFlight sync.WaitGroup
	for i, a := range arrivals {
		timer.Reset(time.Until(start.Add(a.offset)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			inFlight.Wait()
			return samples[:i]
		}
		inFlight.Go(func() {
			r := send(i)
			samples[i] = sample{arrival: a, latency: time.Since(start.Add(a.offset)), result: r}
		})
	}
	inFlight.Wait()
	return samples
}
