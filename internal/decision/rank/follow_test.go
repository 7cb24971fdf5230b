package rank_test

import (
	"fmt"
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

// TestFollowKeepsAvailableNodesAndReplacesOthers checks that a followed node is kept
// while it is available and otherwise replaced, and that nodes of the failure domain are
// preferred.
func TestFollowKeepsAvailableNodesAndReplacesOthers(t *testing.T) {
	view := members.New(1)
	for i := range 8 {
		view, _ = view.With(listed(i, "jkt"))
	}
	view, _ = view.With(listed(8, "smg"), listed(9, "smg"))
	me := self(0)
	var none [rank.MaxFollowed]model.InstanceID
	first := rank.Follow(view, me, none, rank.NoFailures())
	for _, m := range first {
		if m.Domain != "jkt" || m.ID == me.ID {
			t.Fatalf("the node follows itself or another failure domain: %+v", m)
		}
	}
	if first[0].ID == first[1].ID {
		t.Fatalf("the node follows %s twice", first[0].ID)
	}
	current := [rank.MaxFollowed]model.InstanceID{first[0].ID, first[1].ID}
	silent := rank.Evidence{Silent: func(id model.InstanceID) bool { return id == first[0].ID }, Busy: rank.None}
	next := rank.Follow(view, me, current, silent)
	if next[1].ID != first[1].ID || next[0].ID == first[0].ID || next[0].ID == "" {
		t.Errorf("after %s is silent, the node follows %q and %q", first[0].ID, next[0].ID, next[1].ID)
	}
	domainSilent := rank.Evidence{Silent: func(id model.InstanceID) bool { m, _ := view.Get(id); return m.Domain == "jkt" }, Busy: rank.None}
	for _, m := range rank.Follow(view, me, current, domainSilent) {
		if m.Domain != "smg" {
			t.Errorf("while its failure domain is silent, the node follows %q", m.ID)
		}
	}
}

// TestFollowersSpreadOverNodes checks that the nodes do not all follow the same ones,
// whose links would be overloaded.
func TestFollowersSpreadOverNodes(t *testing.T) {
	view := members.New(1)
	for i := range 20 {
		view, _ = view.With(listed(i, "jkt"))
	}
	chosen := map[model.InstanceID]int{}
	for i := range 60 {
		me := self(i)
		me.ID = model.InstanceID(fmt.Sprint("node-", i))
		for _, m := range rank.Follow(view, me, [rank.MaxFollowed]model.InstanceID{}, rank.NoFailures()) {
			chosen[m.ID]++
		}
	}
	for id, n := range chosen {
		if n > 20 {
			t.Errorf("%s is followed by %d of 60 nodes, want at most 20", id, n)
		}
	}
}

// TestRolesConvergeOnSlowLinks guards against nodes that alternate forever between
// reading and following each other. Where no link carries the configuration, some
// nodes must continue to read and the others must continue to follow them. All nodes decide
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
				if i != j && rank.MayFollow(self(i), self(j).Addresses.Control, contact) {
					contacts[i] = model.ContactNone
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
