package mesh

import (
	"slices"
	"time"
)

// Disruption is an unplanned failure of a node's process, links or backend server.
type Disruption struct {
	// Node is the ID of the instance.
	Node  string
	Kind  string
	Begin time.Time
	// End is zero while the failure lasts.
	End time.Time
}

// Overlaps reports whether the failure lasted at any time of a period.
func (d Disruption) Overlaps(from, to time.Time) bool {
	return !d.Begin.After(to) && (d.End.IsZero() || !d.End.Before(from))
}

// BeginDisruption records the begin of an unplanned failure of a node and returns the
// function that records its end.
func (m *Mesh) BeginDisruption(n *Node, kind string) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := len(m.disruptions)
	m.disruptions = append(m.disruptions, Disruption{Node: n.ID, Kind: kind, Begin: time.Now()})
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if d := &m.disruptions[index]; d.End.IsZero() {
			d.End = time.Now()
		}
	}
}

// Disruptions returns all unplanned failures so far, in the order in which they began.
func (m *Mesh) Disruptions() []Disruption {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.disruptions)
}

// Stops returns all planned stops that have ended, in the order of their ends.
func (m *Mesh) Stops() []Stop {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.stops)
}

func (m *Mesh) addStop(s Stop) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stops = append(m.stops, s)
}
