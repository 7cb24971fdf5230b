package route_test

import (
	"math"
	"testing"

	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// TestSplitKeepsTheWeights checks that each service of a route gets its share,
// also among few requests.
func TestSplitKeepsTheWeights(t *testing.T) {
	tree := &model.Tree{
		Services: map[model.ServiceName]*model.Service{"t/a": {Name: "t/a"}, "t/b": {Name: "t/b"}, "t/c": {Name: "t/c"}},
		Routes: []*model.Route{{Team: "t", Name: "r", PathPrefix: "/", Split: []model.WeightedService{
			{Service: "t/a", Weight: 70}, {Service: "t/b", Weight: 25}, {Service: "t/c", Weight: 5},
		}}},
	}
	table := route.Empty().WithTree(tree, func(model.ServiceName) []model.Member { return nil })
	const requests, allowed = 200, 0.02
	counts := map[model.ServiceName]int{}
	for number := range uint64(requests) {
		counts[table.Lookup("any.example", "/x", "GET", number).Destination.Service.Name]++
	}
	for name, share := range map[model.ServiceName]float64{"t/a": 0.7, "t/b": 0.25, "t/c": 0.05} {
		if got := float64(counts[name]) / requests; math.Abs(got-share) > allowed {
			t.Errorf("%s gets %.3f, want %.2f", name, got, share)
		}
	}
}

// TestReplacedServerAtAnAddress checks that of two listed runs of a server at
// one address only the later one receives requests.
func TestReplacedServerAtAnAddress(t *testing.T) {
	at := func(id string, started model.Incarnation, listedAt model.Revision) model.Member {
		return model.Member{
			ID: model.InstanceID(id), Service: "t/a", Listed: model.ListingLive, ListedAt: listedAt, Started: started,
			Addresses: model.Addresses{Traffic: "10.0.0.1:80"},
		}
	}
	tree := &model.Tree{Services: map[model.ServiceName]*model.Service{"t/a": {Name: "t/a"}}}
	members := []model.Member{at("i-old", 1, 9), at("i-new", 2, 5)}
	table := route.Empty().WithTree(tree, func(model.ServiceName) []model.Member { return members })
	endpoints := table.Destination("t/a").Endpoints
	if len(endpoints) != 1 || endpoints[0].ID.Instance != "i-new" {
		t.Fatalf("%d endpoints, the first is %v", len(endpoints), endpoints[0].ID)
	}
}
