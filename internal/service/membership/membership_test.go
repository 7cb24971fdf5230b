package membership_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/membership"
	"github.com/galenalever/galenalever/internal/timeline"
)

type fakeTimeline struct{}

func (fakeTimeline) Name() string                 { return control.Timeline }
func (fakeTimeline) Record(timeline.Kind, string) {}

// node runs the membership service on a control loop that the test drives.
type node struct {
	t       *testing.T
	members *membership.Service
	loop    *kernel.Loop
}

func newNode(t *testing.T) *node {
	n := &node{t: t, members: membership.New(membership.Config{Self: model.Self{ID: "node"}, Unannounced: true})}
	k := kernel.New(clock.NewFake(time.Unix(1_700_000_000, 0)), slog.New(slog.DiscardHandler))
	if err := k.Register(fakeTimeline{}, n.members); err != nil {
		t.Fatal(err)
	}
	// The loop is stopped at once and then driven by Drain.
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	n.loop = k.Loop()
	return n
}

func (n *node) post(m control.MembersReceived) {
	if !n.loop.TryPost(m) {
		n.t.Fatal("mailbox full")
	}
	n.loop.Drain()
}

// present reports whether requests may be sent to an instance.
func (n *node) present(id model.InstanceID) bool {
	m, ok := n.members.View().Load().Get(id)
	return ok && m.Present()
}

func listed(id model.InstanceID, at model.Revision) model.Member {
	return model.Member{ID: id, Service: "shop/stock", Domain: "east", Listed: model.ListingLive, ListedAt: at}
}

// TestPeerDoesNotBringBackARemovedServer guards against requests to a server that has
// left, whose old record a node that has lost the platform still sends: to a node that
// started after the removal, or that read the removal before it knew the server.
func TestPeerDoesNotBringBackARemovedServer(t *testing.T) {
	platform, peer := control.Origin{Platform: true}, control.Origin{Peer: "peer"}
	tests := map[string]control.MembersReceived{
		"complete listing":          {From: platform, Members: []model.Member{listed("kept", 3)}, CompleteAt: 9},
		"removal of unknown server": {From: platform, Removed: []platformread.Removal{{ID: "left", Revision: 9}}},
	}
	for name, read := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			n.post(read)
			n.post(control.MembersReceived{From: peer, Members: []model.Member{listed("kept", 3), listed("left", 7), listed("new", 10)}})
			if n.present("left") {
				t.Error("the server that has left is present")
			}
			if !n.present("kept") || !n.present("new") {
				t.Error("a listed server is not present")
			}
			n.post(control.MembersReceived{From: peer, Members: []model.Member{listed("left", 12)}})
			if !n.present("left") {
				t.Error("the server is not present although it was listed again")
			}
		})
	}
}

// TestRemovalOfAServerThatBecameKnown checks the removal of a server whose record arrives
// while the removal is on its way to the control loop.
func TestRemovalOfAServerThatBecameKnown(t *testing.T) {
	n := newNode(t)
	n.post(control.MembersReceived{From: control.Origin{Peer: "peer"}, Members: []model.Member{listed("left", 7)}})
	n.post(control.MembersReceived{From: control.Origin{Platform: true}, Removed: []platformread.Removal{{ID: "left", Revision: 9}}})
	if n.present("left") {
		t.Error("the server that has left is present")
	}
}

// TestAnnouncedServerNeedsNoListing checks that a complete listing says nothing about
// servers that are known from their own announcements.
func TestAnnouncedServerNeedsNoListing(t *testing.T) {
	n := newNode(t)
	n.post(control.MembersReceived{From: control.Origin{Platform: true}, CompleteAt: 9})
	announced := model.Member{ID: "new", Service: "shop/stock", Announced: model.Announcement{Incarnation: 1, Presence: model.PresenceReady}}
	n.post(control.MembersReceived{From: control.Origin{Peer: "peer"}, Members: []model.Member{announced}})
	if !n.present("new") {
		t.Error("the announced server is not present")
	}
}
