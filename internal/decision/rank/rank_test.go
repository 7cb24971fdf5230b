package rank_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

func self(i int) model.Self {
	id := model.InstanceID(fmt.Sprintf("instance-%d", i))
	return model.Self{ID: id, Domain: "jkt", Incarnation: 1, Addresses: model.Addresses{Control: string(id)}}
}

func viewOfDomain(count int) *members.View {
	view := members.New(1)
	var records []model.Member
	for i := range count {
		records = append(records, self(i).Member(model.PresenceReady))
	}
	view, _ = view.With(records...)
	return view
}

// TestNoCycleWhenViewsDiffer guards against a cycle of upstreams, whose nodes would get no
// more changes. Each node decides by a different view and different evidence.
func TestNoCycleWhenViewsDiffer(t *testing.T) {
	const count = 25
	rapid.Check(t, func(t *rapid.T) {
		upstreams := make(map[model.InstanceID]model.InstanceID)
		for i := range count {
			seed := rapid.Uint64().Draw(t, "seed")
			role := rank.Decide(partialView(count, seed), self(i), self(int(seed%count)).ID, randomEvidence(seed))
			if !role.Reader && role.Upstream.ID == "" {
				t.Fatalf("node %d neither reads nor polls", i)
			}
			upstreams[self(i).ID] = role.Upstream.ID
		}
		for i := range count {
			steps := 0
			for id := self(i).ID; id != ""; id = upstreams[id] {
				if steps++; steps > count {
					t.Fatalf("cycle through node %d", i)
				}
			}
		}
	})
}

// partialView returns a view that lacks random nodes and contains the others with random
// presences.
func partialView(count int, seed uint64) *members.View {
	rng := rand.New(rand.NewPCG(seed, 1))
	var records []model.Member
	for i := range count {
		if rng.IntN(4) > 0 {
			records = append(records, self(i).Member(model.Presence(1+rng.IntN(4))))
		}
	}
	view, _ := members.New(1).With(records...)
	return view
}

func randomEvidence(seed uint64) rank.Evidence {
	random := func(salt uint64) rank.Excluded {
		return func(id model.InstanceID) bool { return (members.Hash(id)^seed*salt)%3 == 0 }
	}
	return rank.Evidence{Silent: random(3), Busy: random(5)}
}

// TestDepthAndFanOutOfAFailureDomain checks that the depth of the tree of upstreams, and
// with it the delay of a change, grows with the logarithm of the number of nodes, and
// that few nodes poll the same one.
func TestDepthAndFanOutOfAFailureDomain(t *testing.T) {
	const count = 1900
	view := viewOfDomain(count)
	upstream, followers := make(map[model.InstanceID]model.InstanceID), make(map[model.InstanceID]int)
	readers := 0
	for i := range count {
		role := rank.Decide(view, self(i), "", rank.NoFailures())
		if role.Reader {
			readers++
		}
		upstream[self(i).ID] = role.Upstream.ID
		followers[role.Upstream.ID]++
	}
	if readers != rank.Readers {
		t.Errorf("%d readers, want %d", readers, rank.Readers)
	}
	depth, maxFollowers := 0, 0
	for i := range count {
		hops := 0
		for id := upstream[self(i).ID]; id != ""; id = upstream[id] {
			hops++
		}
		depth = max(depth, hops)
		maxFollowers = max(maxFollowers, followers[self(i).ID])
	}
	if limit := int(math.Log2(count)) + 1; depth > limit {
		t.Errorf("depth %d, want at most %d", depth, limit)
	}
	if maxFollowers > rank.Readers+1 {
		t.Errorf("a node serves %d others", maxFollowers)
	}
}

// TestNextNodesReadWhenTheReadersAreSilent guards against a failure domain in which no
// node, or too many nodes, read the platform after its readers have failed.
func TestNextNodesReadWhenTheReadersAreSilent(t *testing.T) {
	view := viewOfDomain(10)
	order := view.Domain("jkt")
	silent := rank.Evidence{
		Silent: func(id model.InstanceID) bool {
			return id == order[0].ID || id == order[1].ID || id == order[2].ID
		},
		Busy: rank.None,
	}
	for index, m := range order[3:6] {
		role := rank.Decide(view, model.Self{ID: m.ID, Domain: "jkt"}, "", silent)
		if !role.Reader || role.ReaderIndex != index {
			t.Errorf("position %d: %+v, want a reader with index %d", index+3, role, index)
		}
	}
	if role := rank.Decide(view, model.Self{ID: order[6].ID, Domain: "jkt"}, "", silent); role.Reader {
		t.Error("position 6 reads the platform")
	}
}

// TestBusyNodesKeepTheirPosition guards against all nodes of a failure domain becoming
// readers while it starts and all of them are busy.
func TestBusyNodesKeepTheirPosition(t *testing.T) {
	view := viewOfDomain(10)
	last := view.Domain("jkt")[9]
	all := func(model.InstanceID) bool { return true }
	role := rank.Decide(view, model.Self{ID: last.ID, Domain: "jkt"}, "", rank.Evidence{Silent: rank.None, Busy: all})
	if role.Reader || role.Upstream.ID == "" {
		t.Errorf("role = %+v, want a node that polls", role)
	}
}

// TestExclusionsGrowAndEnd checks that an exclusion ends in time, that repeated failures
// prolong it up to a limit, and that a busy node does not count as silent.
func TestExclusionsGrowAndEnd(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	exclusions := rank.NewExclusions()
	first := exclusions.MarkSilent("a", start, rng).Sub(start)
	if !exclusions.At(start).Silent("a") || exclusions.At(start.Add(first)).Silent("a") {
		t.Error("the exclusion does not end at the returned time")
	}
	for range 20 {
		exclusions.MarkSilent("a", start, rng)
	}
	if again := exclusions.MarkSilent("a", start, rng).Sub(start); again <= first || again > 2*time.Minute {
		t.Errorf("exclusion of %s after many failures, %s after the first", again, first)
	}
	exclusions.MarkBusy("b", start.Add(time.Second))
	if seen := exclusions.At(start); seen.Silent("b") || !seen.Busy("b") {
		t.Error("a busy node counts as silent")
	}
	exclusions.Restore("a")
	if exclusions.At(start).Silent("a") {
		t.Error("a restored node is excluded")
	}
}

// TestReadersSpreadRecordsOfTheirOwnDomainToAll checks that a record reaches all readers
// of all failure domains, and that the readers of other domains do not send it on to
// further domains again.
func TestReadersSpreadRecordsOfTheirOwnDomainToAll(t *testing.T) {
	view := viewOfDomain(5)
	far := self(100)
	far.Domain = "smg"
	view, _ = view.With(far.Member(model.PresenceReady))
	order := view.Domain("jkt")
	reader := model.Self{ID: order[0].ID, Domain: "jkt"}
	if got := len(rank.AnnounceTargets(view, reader, true, "jkt", rank.None)); got != 3 {
		t.Errorf("%d targets of a record of the reader's domain, want 2 readers and 1 other domain", got)
	}
	if got := len(rank.AnnounceTargets(view, reader, true, "smg", rank.None)); got != 2 {
		t.Errorf("%d targets of a record of another domain, want 2 readers", got)
	}
	follower := model.Self{ID: order[4].ID, Domain: "jkt"}
	targets := rank.AnnounceTargets(view, follower, false, "jkt", rank.None)
	if len(targets) != 1 || len(targets[0].Candidates) != rank.Readers {
		t.Errorf("targets of a follower: %v, want one that names all readers", targets)
	}
}
