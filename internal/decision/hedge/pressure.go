package hedge

import "time"

const (
	// maxRefused is the share of attempts refused for lack of capacity from which on slots
	// are short. A single server of many that refuses does not reach it.
	maxRefused = 0.05
	// maxOccupied is the share of the slots from which on a service counts as full. Above
	// it, most of the servers with slow requests have no free slot for a hedge.
	maxOccupied = 0.85
	// pressureDivisor is the inverse of the weight of a new response in the means.
	pressureDivisor = 32
	// reportAge is the age from which on earlier reports of occupied slots do not count.
	reportAge = time.Second
)

// Pressure tells whether the slots of a service are short, from what its gates respond to
// this node. The zero value knows of no pressure.
type Pressure struct {
	refused    float64
	occupied   float64
	reportedAt time.Duration
	reported   bool
}

// Refusal records that a gate refused a request for lack of capacity.
func (p *Pressure) Refusal() { p.refused += (1 - p.refused) / pressureDivisor }

// Load records that a gate accepted a request and reported this number of other ones in its
// slots and in its queue.
func (p *Pressure) Load(requests, slots int, now time.Duration) {
	sample := min(float64(requests)/float64(max(slots, 1)), 1) // one long queue must not outweigh many servers
	if !p.reported || now-p.reportedAt > reportAge {
		p.occupied = sample
	}
	p.refused -= p.refused / pressureDivisor
	p.occupied += (sample - p.occupied) / pressureDivisor
	p.reported, p.reportedAt = true, now
}

// Occupied returns the mean share of the slots that were occupied, with queued requests
// counted as occupied slots.
func (p *Pressure) Occupied() float64 { return p.occupied }

// Short reports whether slots are short now.
func (p *Pressure) Short() bool { return p.refused >= maxRefused || p.occupied >= maxOccupied }
