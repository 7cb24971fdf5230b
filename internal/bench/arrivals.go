package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// phase is a stretch of time with a constant arrival rate.
type phase struct {
	name string
	// rate is the number of arrivals in a second.
	rate float64
	// lasts is the length of the phase.
	lasts time.Duration
}

// arrival is one request of an open loop.
type arrival struct {
	// at is the time since the start of the schedule.
	at    time.Duration
	phase int
}

// schedule draws exponential gaps, so that arrivals do not depend on answers.
func schedule(phases []phase, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	var arrivals []arrival
	var begin time.Duration
	for i, p := range phases {
		at := begin
		for p.rate > 0 {
			at += time.Duration(random.ExpFloat64() / p.rate * float64(time.Second))
			if at >= begin+p.lasts {
				break
			}
			arrivals = append(arrivals, arrival{at: at, phase: i})
		}
		begin += p.lasts
	}
	return arrivals
}

// sample is what became of one arrival. Took counts from the scheduled arrival,
// so that waiting in the generator counts too.
type sample struct {
	arrival
	took   time.Duration
	result result
}

// play sends one request for each arrival at its time and waits for all.
func play(ctx context.Context, arrivals []arrival, send func(i int) result) []sample {
	samples := make([]sample, len(arrivals))
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var running sync.WaitGroup
	for i, a := range arrivals {
		timer.Reset(time.Until(start.Add(a.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			running.Wait()
			return samples[:i]
		}
		running.Go(func() {
			r := send(i)
			samples[i] = sample{arrival: a, took: time.Since(start.Add(a.at)), result: r}
		})
	}
	running.Wait()
	return samples
}
