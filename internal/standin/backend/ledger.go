package backend

import (
	"maps"
	"sync"
)

// Ledger counts the executions of each request that has a ledger ID. It is safe for
// concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{executions: make(map[string]int)} }

// record counts one execution. Requests without an ID are not counted.
func (l *Ledger) record(id string) {
	if id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id]++
}

// Count returns the number of executions of a request.
func (l *Ledger) Count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[id]
}

// Executions returns a copy of the counts by ledger ID.
func (l *Ledger) Executions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.executions)
}
