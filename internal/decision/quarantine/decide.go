package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Verdict is the decision on one request.
type Verdict uint8

const (
	// Clear means that the request is not a suspect.
	Clear Verdict = iota
	// RunAlone means that this server may run the request while no other request runs.
	RunAlone
	// RunElsewhere means that this server must not run the request: another one is
	// designated.
	RunElsewhere
	// Quarantined means that the request is refused everywhere.
	Quarantined
)

// Decision is the verdict on one request. Suspect is the record that it is based
// on, except for Clear.
type Decision struct {
	Verdict Verdict
	Suspect Suspect
}

// Decide returns the verdict on a request at the server self. members are those of
// its service.
func (t Table) Decide(f Fingerprint, self model.InstanceID, members []model.Member, now time.Time) Decision {
	r, ok := t.records[f]
	if !ok || !r.Expires.After(now) || len(r.uncleared()) == 0 {
		return Decision{Verdict: Clear}
	}
	latestCrash := r.Expires.Add(-Duration)
	switch {
	case r.Quarantined():
		return Decision{Verdict: Quarantined, Suspect: r}
	case now.Sub(latestCrash) >= designationPeriod, Designated(f, r.Crashed(), self, members) == self:
		return Decision{Verdict: RunAlone, Suspect: r}
	default:
		return Decision{Verdict: RunElsewhere, Suspect: r}
	}
}

// Designated returns, by rendezvous hashing of f, one of the servers that are not among
// crashed, or of all if none is left. The servers are self and the present members.
func Designated(f Fingerprint, crashed []model.InstanceID, self model.InstanceID, members []model.Member) model.InstanceID {
	candidates := []model.InstanceID{self}
	for _, m := range members {
		if m.ID != self && m.Present() {
			candidates = append(candidates, m.ID)
		}
	}
	isCrashed := func(id model.InstanceID) bool { return slices.Contains(crashed, id) }
	if sound := slices.DeleteFunc(slices.Clone(candidates), isCrashed); len(sound) > 0 {
		candidates = sound
	}
	return slices.MaxFunc(candidates, func(a, b model.InstanceID) int {
		return cmp.Or(cmp.Compare(hashInstance(f, a), hashInstance(f, b)), cmp.Compare(b, a))
	})
}

func hashInstance(f Fingerprint, id model.InstanceID) uint64 {
	return hashStrings(strconv.FormatUint(uint64(f), 16), string(id))
}
