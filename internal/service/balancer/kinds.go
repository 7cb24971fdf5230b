package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// kindUnit is the mean latency of a kind whose scale is 1.
	kindUnit = 100 * time.Millisecond
	// kindDivisor and hopDivisor are the inverse of the weight of a new sample in the
	// mean latency of a kind and in the time of a hop.
	kindDivisor = 32
	hopDivisor  = 16
)

// kinds holds the mean latency of each kind of request over all servers of a service, and
// how long a refusal by a gate of the service takes. The latencies of a server are divided
// by the scale of their kind before they are smoothed: otherwise a server that has just
// answered an upload of 600 ms appears slow to calls of 20 ms. It is safe for concurrent
// use.
type kinds struct {
	means sync.Map // kindKey -> *atomic.Int64, in nanoseconds
	hops  sync.Map // model.ServiceName -> *atomic.Int64, in nanoseconds
}

type kindKey struct {
	service model.ServiceName
	kind    string
}

// scale returns the mean latency of a kind in kindUnits; 1 if it is unknown.
func (k *kinds) scale(service model.ServiceName, kind string) float64 {
	if kind == "" {
		return 1
	}
	mean, ok := k.means.Load(kindKey{service, kind})
	if !ok {
		return 1
	}
	return float64(mean.(*atomic.Int64).Load()) / float64(kindUnit)
}

// observe adds the latency of an answered request to the mean of its kind and returns the
// scale of the kind before.
func (k *kinds) observe(service model.ServiceName, r balance.Report) float64 {
	if r.Kind == "" || r.Latency <= 0 {
		return 1
	}
	if !r.Reported || r.Outcome != model.OutcomeAnswered {
		return k.scale(service, r.Kind)
	}
	key := kindKey{service, r.Kind}
	found, ok := k.means.Load(key)
	if !ok {
		first := new(atomic.Int64)
		first.Store(int64(r.Latency))
		found, _ = k.means.LoadOrStore(key, first)
	}
	return float64(addSample(found.(*atomic.Int64), r.Latency, kindDivisor)) / float64(kindUnit)
}

// hop returns how long a refusal by a gate of the service takes; 0 if it is unknown.
func (k *kinds) hop(service model.ServiceName) time.Duration {
	if found, ok := k.hops.Load(service); ok {
		return time.Duration(found.(*atomic.Int64).Load())
	}
	return 0
}

func (k *kinds) observeHop(service model.ServiceName, took time.Duration) {
	if took <= 0 {
		return
	}
	found, ok := k.hops.Load(service)
	if !ok {
		found, _ = k.hops.LoadOrStore(service, new(atomic.Int64))
	}
	addSample(found.(*atomic.Int64), took, hopDivisor)
}

// addSample adds a sample to a moving average and returns the average before.
func addSample(average *atomic.Int64, sample time.Duration, divisor int64) time.Duration {
	for {
		old := average.Load()
		if average.CompareAndSwap(old, old+(int64(sample)-old)/divisor) {
			return time.Duration(old)
		}
	}
}
