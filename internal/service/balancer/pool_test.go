package balancer_test

import (
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

func tableOf(p *policy, names ...string) *route.Table {
	var members []model.Member
	for _, name := range names {
		members = append(members, model.Member{
			ID: model.InstanceID(name), Addresses: model.Addresses{Traffic: name}, Listed: model.ListingLive,
		})
	}
	if p.table != nil {
		return p.table.WithMembers(p.service.Name, members)
	}
	tree := &model.Tree{Services: map[model.ServiceName]*model.Service{p.service.Name: p.service}}
	return route.Empty().WithTree(tree, func(model.ServiceName) []model.Member { return members })
}

func (p *policy) pick(t *route.Table) *route.Endpoint {
	picked, _ := p.balancer.Pick(t.Destination(p.service.Name), model.ClassShort, 0, nil)
	return picked
}

// TestStatisticsFollowTheTable checks that statistics survive a change of other
// members, end with their endpoint, and that a request with an older table
// neither fails nor brings them back.
func TestStatisticsFollowTheTable(t *testing.T) {
	p := newPolicy(t)
	p.table = tableOf(p, "a")
	a := p.pick(p.table)
	answered := balance.Report{Outcome: model.OutcomeAnswered, Reported: true, Latency: 3 * time.Millisecond}
	p.balancer.Done(a, model.ClassShort, answered)
	both := tableOf(p, "a", "b")
	p.pick(both)
	status := p.balancer.Status()
	if len(status) != 2 || status[0].Latency != answered.Latency {
		t.Fatalf("after a change of members: %+v", status)
	}
	old := p.table
	p.table = both
	onlyB := tableOf(p, "b")
	p.pick(onlyB)
	if e := p.pick(old); e != a {
		t.Fatalf("a request with the older table got %v", e)
	}
	p.balancer.Done(a, model.ClassShort, answered)
	if status := p.balancer.Status(); len(status) != 1 || status[0].Instance != "b" {
		t.Fatalf("after the member is gone: %+v", status)
	}
}
