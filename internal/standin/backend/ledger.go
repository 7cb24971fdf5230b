package backend

import (
	"slices"
	"sync"
	"time"
)

// Ledger records the executions of each request that has a ledger ID. It is safe for
// concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions map[string][]Execution
}

// Execution is the work of one server on a request that it received completely.
type Execution struct {
	// Server is the name of the server.
	Server string
	Began  time.Time
	// Ended is zero while the server is at work.
	Ended time.Time
	// Completed says that the work ended by itself. Otherwise the caller disconnected
	// or the server crashed.
	Completed bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{executions: make(map[string][]Execution)} }

// begin records the begin of an execution and returns the function that records its
// end. Requests without an ID are not recorded.
func (l *Ledger) begin(id, server string) (end func(completed bool)) {
	if id == "" {
		return func(bool) {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	index := len(l.executions[id])
	l.executions[id] = append(l.executions[id], Execution{Server: server, Began: time.Now()})
	return func(completed bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		execution := &l.executions[id][index]
		execution.Ended, execution.Completed = time.Now(), completed
	}
}

// Count returns the number of executions of a request.
func (l *Ledger) Count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.executions[id])
}

// Of returns the executions of a request in the order in which they began.
func (l *Ledger) Of(id string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions[id])
}

// Executions returns the counts by ledger ID.
func (l *Ledger) Executions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.executions))
	for id, executions := range l.executions {
		counts[id] = len(executions)
	}
	return counts
}

// Began returns the executions that a server began in a period.
func (l *Ledger) Began(server string, from, to time.Time) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Execution
	for _, executions := range l.executions {
		for _, e := range executions {
			if e.Server == server && e.Began.After(from) && e.Began.Before(to) {
				found = append(found, e)
			}
		}
	}
	return found
}
