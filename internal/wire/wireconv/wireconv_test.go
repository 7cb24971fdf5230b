package wireconv_test

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

func sampleDelta() replicate.Delta {
	leaves := []model.Leaf{{Path: "services/a", Value: []byte(`{}`), Changed: 3}, {Path: "services/b", Value: []byte(`{}`), Changed: 5}}
	whole := model.Subtree{Key: "teams/a", Revision: 5, Leaves: leaves, Horizon: 2, Hash: model.HashLeaves(leaves)}
	whole.Dropped = []model.DroppedLeaf{{Path: "routes/x", Changed: 4}}
	rejected := model.Subtree{Key: "teams/b", Revision: 6}
	rejected.Rejected.Addf(findings.Location{Source: "teams/b", Path: "team", Line: 1, Column: 7}, "is wrong")
	removed := model.Subtree{Key: "teams/c", Revision: 7, Removed: true}
	cut := model.Cut{Revision: 7, Subtrees: map[model.Key]*model.Subtree{"teams/a": &whole, "teams/b": &rejected, "teams/c": &removed}}
	delta := replicate.Diff(cut, 0, nil)
	delta.Running = []replicate.SubtreeDelta{{Subtree: model.Subtree{Key: "teams/b", Removed: true}}}
	delta.Bootstrap = true
	return delta
}

func encode(t testing.TB, delta replicate.Delta) []byte {
	t.Helper()
	var response wire.PollResponse
	wireconv.SetDelta(&response, delta)
	encoded, err := proto.Marshal(&response)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestDeltaRoundTrip(t *testing.T) {
	want := sampleDelta()
	var response wire.PollResponse
	if err := proto.Unmarshal(encode(t, want), &response); err != nil {
		t.Fatal(err)
	}
	got, err := wireconv.Delta(&response, true)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestMalformedDeltasAreErrors(t *testing.T) {
	for name, response := range map[string]*wire.PollResponse{
		"digest": {CutDigest: []byte{1}},
		"key":    {Subtrees: []*wire.SubtreeDelta{{}}},
		"hash":   {Running: []*wire.SubtreeDelta{{Key: "a", Hash: []byte{1, 2}}}},
	} {
		if _, err := wireconv.Delta(response, false); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestMemberRoundTrip(t *testing.T) {
	want := model.Member{
		ID: "i", Service: "t/s", Domain: "jkt",
		Addresses: model.Addresses{Traffic: "a:1", Control: "a:2", Operator: "a:3"},
		Announced: model.Announcement{Incarnation: 9, Presence: model.PresenceLeaving},
		Listed:    model.ListingLive, ListedAt: 12,
	}
	got, err := wireconv.MembersFromWire(wireconv.MembersToWire([]model.Member{want}))
	if err != nil || len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, invalid := range []*wire.Member{{}, {Id: "i", Presence: 5}, {Id: "i", Listed: 4}} {
		if _, err := wireconv.MemberFromWire(invalid); err == nil {
			t.Errorf("member %v was accepted", invalid)
		}
	}
}

// FuzzDelta decodes arbitrary bytes and applies the delta if it is accepted. The
// cut either keeps its revision, or becomes one that matches the digest of the delta
// and the hashes of its subtrees.
func FuzzDelta(f *testing.F) {
	f.Add(encode(f, sampleDelta()), true)
	f.Add(encode(f, replicate.Diff(model.Cut{Revision: 9}, 3, nil)), false)
	f.Add([]byte{0x08, 0xff, 0x01}, false)
	f.Fuzz(func(t *testing.T, encoded []byte, bootstrap bool) {
		var response wire.PollResponse
		if proto.Unmarshal(encoded, &response) != nil {
			return
		}
		delta, err := wireconv.Delta(&response, bootstrap)
		if err != nil {
			return
		}
		base := replicate.Apply(model.Cut{}, sampleDelta()).Cut
		result := replicate.Apply(base, delta)
		if result.Cut.Revision != base.Revision && replicate.Digest(result.Cut) != delta.Digest {
			t.Fatalf("applied revision %d with a wrong digest", result.Cut.Revision)
		}
		for key, subtree := range result.Cut.Subtrees {
			if !subtree.Removed && model.HashLeaves(subtree.Leaves) != subtree.Hash && len(subtree.Rejected) == 0 {
				t.Fatalf("%s does not match its hash", key)
			}
		}
		replicate.RunningOf(result.Cut, delta)
	})
}
