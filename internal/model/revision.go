package model

import (
	"fmt"
	"log/slog"

	"github.com/rotisserie/eris"
)

// Revision is a position in the history of the platform's configuration service: an era
// and a counter. The counter increases with every change of any key's value. It goes back
// when the service returns from an older copy of its state, which begins the next era. A
// revision of a later era is greater, whatever the counters.
type Revision uint64

const (
	// counterBits is the number of low bits of a revision that hold the counter.
	counterBits = 40
	// MaxCounter and MaxEra are the largest parts of a revision.
	MaxCounter = 1<<counterBits - 1
	MaxEra     = 1<<(64-counterBits) - 1
)

// NewRevision returns the position at a counter of an era. It returns an error if one of
// them is too large.
func NewRevision(era, counter uint64) (Revision, error) {
	if era > MaxEra {
		return 0, eris.Errorf("era %d is above %d", era, uint64(MaxEra))
	}
	if counter > MaxCounter {
		return 0, eris.Errorf("revision %d is above %d", counter, uint64(MaxCounter))
	}
	return Revision(era<<counterBits | counter), nil
}

// Era is the number of times that the service had returned from an older copy.
func (r Revision) Era() uint64 { return uint64(r) >> counterBits }

// Counter is the counter of changes within the era.
func (r Revision) Counter() uint64 { return uint64(r) & MaxCounter }

// String returns the counter, preceded by the era unless that is 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Counter())
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Counter())
}

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value {
	if r.Era() == 0 {
		return slog.Uint64Value(r.Counter())
	}
	return slog.StringValue(r.String())
}
