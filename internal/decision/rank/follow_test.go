package rank_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

func listed(i int, domain model.FailureDomain) model.Member {
	m := self(i).Member(model.PresenceUnknown)
	m.Announced, m.Domain, m.Listed = model.Announcement{}, domain, model.ListingLive
	return m
}

// TestLinkCarriesConfiguration guards against slow links that are loaded with whole
// configurations, and against nodes that follow others although their link is fast.
func TestLinkCarriesConfiguration(t *testing.T) {
	for _, test := range []struct {
		bandwidth float64
		bytes     int
		want      bool
	}{
		{0, 1 << 30, true},
		{1e9, 60_000, true},
		{140e6, 250_000, true},
		{7e6, 250_000, false},
		{7e6, 20_000, true},
		{140e6, 10_000_000, false}, // 3,400 services
	} {
		if got := rank.LinkCarriesConfiguration(test.bandwidth, test.bytes); got != test.want {
			t.Errorf("link of %g bit/s, configuration of %d bytes: got %t", test.bandwidth, test.bytes, got)
		}
	}
}

// place is a node in a view of listed members.
type place struct {
	self model.Self
	rank.Following
}

func noneWide(string) bool { return false }

func placesOf(view *members.View, count int, evidence rank.Evidence) []place {
	out := make([]place, count)
	for i := range out {
		me := self(i)
		me.Domain = "jkt"
		// The platform lists servers under IDs that their nodes do not know.
		me.ID = model.InstanceID(fmt.Sprint("node-", i))
		out[i] = place{me, rank.Follow(view, me, [rank.MaxFollowed]model.InstanceID{}, noneWide, evidence)}
	}
	return out
}

func viewOfListed(count int, domain model.FailureDomain) *members.View {
	view := members.New(1)
	for i := range count {
		view, _ = view.With(listed(i, domain))
	}
	return view
}

// TestFewNodesReadAtEverySize guards against a load on the platform that grows with the
// nodes: each failure domain has two readers, the others reach them over few nodes, and
// no node serves many.
func TestFewNodesReadAtEverySize(t *testing.T) {
	for count, maxDepth := range map[int]int{1: 0, 2: 0, 3: 1, 10: 1, 59: 3, 1900: 5} {
		view := viewOfListed(count, "jkt")
		for i := range 3 {
			view, _ = view.With(listed(count+i, "smg")) // never followed from jkt
		}
		places := placesOf(view, count, rank.NoFailures())
		byAddress := map[string]place{}
		readers, followers := 0, map[model.InstanceID]int{}
		for _, p := range places {
			byAddress[p.self.Addresses.Control] = p
			if p.Reader {
				readers++
				continue
			}
			if p.Upstreams[0].ID == p.Upstreams[1].ID || p.Upstreams[0].ID == "" || p.Upstreams[1].ID == "" {
				t.Fatalf("%d nodes: %s follows %q and %q", count, p.self.ID, p.Upstreams[0].ID, p.Upstreams[1].ID)
			}
			for _, m := range p.Upstreams {
				if m.Domain != "jkt" || m.Addresses.Control == p.self.Addresses.Control {
					t.Fatalf("%d nodes: %s follows itself or another failure domain: %+v", count, p.self.ID, m)
				}
			}
			followers[p.Upstreams[0].ID]++
			followers[p.Upstreams[1].ID]++
		}
		if readers != min(count, 2) {
			t.Errorf("%d nodes: %d read the platform", count, readers)
		}
		for id, n := range followers {
			if n > 9 {
				t.Errorf("%d nodes: %s is followed by %d", count, id, n)
			}
		}
		for _, p := range places {
			depth := 0
			for current := p; !current.Reader; depth++ {
				if depth > count {
					t.Fatalf("%d nodes: %s does not reach a reader", count, p.self.ID)
				}
				current = byAddress[current.Upstreams[0].Addresses.Control]
			}
			if depth > maxDepth {
				t.Errorf("%d nodes: %s is %d nodes away from a reader, want at most %d", count, p.self.ID, depth, maxDepth)
			}
		}
	}
}

// TestFollowersNeverFormACycle guards against nodes that follow each other and take old
// state for current. Views and evidence differ between the nodes.
func TestFollowersNeverFormACycle(t *testing.T) {
	const count = 40
	upstreams := map[string][]string{}
	for i := range count {
		view := members.New(1)
		for j := range count {
			if (i*31+j*17)%5 != 0 {
				view, _ = view.With(listed(j, "jkt"))
			}
		}
		me := self(i)
		me.Domain = "jkt"
		following := rank.Follow(view, me, [rank.MaxFollowed]model.InstanceID{}, noneWide, randomEvidence(uint64(i)))
		if !following.Reader {
			for _, m := range following.Upstreams {
				upstreams[me.Addresses.Control] = append(upstreams[me.Addresses.Control], m.Addresses.Control)
			}
		}
	}
	var visit func(address string, path []string)
	visit = func(address string, path []string) {
		if slices.Contains(path, address) {
			t.Fatalf("cycle %v", append(path, address))
		}
		for _, next := range upstreams[address] {
			visit(next, append(path, address))
		}
	}
	for address := range upstreams {
		visit(address, nil)
	}
}

// TestSilentReadersAreReplaced checks that the next nodes read the platform while the
// readers of their failure domain are silent.
func TestSilentReadersAreReplaced(t *testing.T) {
	const count = 12
	view := viewOfListed(count, "jkt")
	silent := map[model.InstanceID]bool{}
	for _, p := range placesOf(view, count, rank.NoFailures()) {
		if p.Reader {
			for m := range view.EachInDomain("jkt") {
				silent[m.ID] = silent[m.ID] || m.Addresses.Control == p.self.Addresses.Control
			}
		}
	}
	readers := 0
	evidence := rank.Evidence{Silent: func(id model.InstanceID) bool { return silent[id] }, Busy: rank.None}
	for _, p := range placesOf(view, count, evidence) {
		if p.Reader {
			readers++
		}
		for _, m := range p.Upstreams {
			if silent[m.ID] {
				t.Errorf("%s follows the silent %s", p.self.ID, m.ID)
			}
		}
	}
	if readers != 4 { // the two silent ones, by their own view, and two others
		t.Errorf("%d nodes read, want 4", readers)
	}
}

// TestUpstreamIsKept checks that a node keeps the nodes that it follows while they are
// available, and replaces one that is busy.
func TestUpstreamIsKept(t *testing.T) {
	const count = 30
	view := viewOfListed(count, "jkt")
	for _, p := range placesOf(view, count, rank.NoFailures()) {
		if p.Reader {
			continue
		}
		current := [rank.MaxFollowed]model.InstanceID{p.Upstreams[0].ID, p.Upstreams[1].ID}
		if kept := rank.Follow(view, p.self, current, noneWide, rank.NoFailures()); kept != p.Following {
			t.Errorf("%s followed %v and now %v", p.self.ID, current, kept.Upstreams)
		}
		busy := rank.Evidence{Silent: rank.None, Busy: func(id model.InstanceID) bool { return id == current[0] }}
		if next := rank.Follow(view, p.self, current, noneWide, busy); next.Upstreams[0].ID == current[0] || next.Upstreams[1].ID == current[0] {
			t.Errorf("%s follows %s, which is busy", p.self.ID, current[0])
		}
	}
}

// TestSlowReaderFollowsNodesWithWideLinks checks that a reader finds nodes that can read
// in its place: those of its failure domain whose links are wide, otherwise readers, those
// of its own failure domain first.
func TestSlowReaderFollowsNodesWithWideLinks(t *testing.T) {
	const count = 8
	view := viewOfListed(count, "jkt")
	for i := count; i < 2*count; i++ {
		view, _ = view.With(listed(i, "smg"))
	}
	for _, p := range placesOf(view, count, rank.NoFailures()) {
		if !p.Reader {
			continue
		}
		if p.Upstreams[0].Domain != "jkt" || p.Upstreams[1].Domain != "smg" || p.Upstreams[0].Addresses == p.self.Addresses {
			t.Errorf("%s may follow %+v", p.self.ID, p.Upstreams)
		}
		wide := map[string]bool{self(5).Addresses.Control: true, self(6).Addresses.Control: true, p.self.Addresses.Control: true}
		following := rank.Follow(view, p.self, [rank.MaxFollowed]model.InstanceID{},
			func(address string) bool { return wide[address] }, rank.NoFailures())
		delete(wide, p.self.Addresses.Control)
		if first := following.Upstreams[0].Addresses.Control; !wide[first] {
			t.Errorf("%s follows %+v, want those with wide links", p.self.ID, following.Upstreams)
		}
	}
}

// TestRolesConvergeOnSlowLinks guards against readers that alternate forever between
// reading and following each other. Where no link carries the configuration, some
// must continue to read and the others must continue to follow them. All decide
// at the same time, from the previous state of the others.
func TestRolesConvergeOnSlowLinks(t *testing.T) {
	const count, rounds = 30, 40
	var contacts [count]model.PlatformContact
	for i := range contacts {
		contacts[i] = model.ContactInterim
	}
	for round := range rounds {
		before, changes := contacts, 0
		for i := range contacts {
			contacts[i] = model.ContactInterim
			for j, contact := range before {
				if i != j && rank.MayFollow(self(i), true, self(j).Addresses.Control, contact) {
					contacts[i] = model.ContactRelayed
				}
			}
			if contacts[i] != before[i] {
				changes++
			}
		}
		if round > rounds/2 && changes > 0 {
			t.Fatalf("%d nodes changed their role in round %d", changes, round)
		}
	}
	if !slices.Contains(contacts[:], model.ContactInterim) {
		t.Error("no node reads the platform")
	}
}

// TestOnlyContactIsFollowed checks which nodes may be followed.
func TestOnlyContactIsFollowed(t *testing.T) {
	for contact, want := range map[model.PlatformContact]bool{
		model.ContactNone: false, model.ContactLost: false, model.ContactCurrent: true, model.ContactInterim: true, model.ContactRelayed: true,
	} {
		if got := rank.MayFollow(self(1), false, self(2).Addresses.Control, contact); got != want {
			t.Errorf("contact %s: may follow %t", contact, got)
		}
	}
	if rank.MayFollow(self(1), true, self(2).Addresses.Control, model.ContactRelayed) {
		t.Error("a reader follows a node that follows others")
	}
}

// TestRandomNodeIsNeitherSelfNorExcluded guards against a node that polls itself or an
// upstream that does not respond, when it looks for others.
func TestRandomNodeIsNeitherSelfNorExcluded(t *testing.T) {
	view := viewOfListed(2, "jkt")
	view, _ = view.With(listed(2, "smg"))
	gone := listed(3, "smg")
	gone.Listed = model.ListingRemoved
	view, _ = view.With(gone)
	me := self(0)
	me.ID = "node-0" // the platform lists servers under IDs that their nodes do not know
	rng := rand.New(rand.NewPCG(1, 1))
	excluded := func(id model.InstanceID) bool { return id == self(1).ID }
	for range 50 {
		if m, ok := rank.RandomNode(view, me, excluded, rng); !ok || m.ID != self(2).ID {
			t.Fatalf("got %q, %t", m.ID, ok)
		}
	}
	if m, ok := rank.RandomNode(viewOfListed(2, "jkt"), me, excluded, rng); ok {
		t.Errorf("got %q although there is no other node", m.ID)
	}
}
