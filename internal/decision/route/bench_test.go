package route_test

import (
	"fmt"
	"testing"

	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// The numbers of services and instances that a mesh must support.
const (
	benchServices = 3400
	benchMembers  = 21000
)

func benchTree() (*model.Tree, map[model.ServiceName][]model.Member) {
	tree := &model.Tree{Services: make(map[model.ServiceName]*model.Service)}
	members := make(map[model.ServiceName][]model.Member)
	for i := range benchServices {
		name := model.ServiceName(fmt.Sprintf("team%d/service%d", i/10, i))
		tree.Services[name] = &model.Service{Name: name, Slots: 6}
		tree.Routes = append(tree.Routes, &model.Route{
			Team: name.Team(), Name: fmt.Sprint("r", i), Service: name,
			PathPrefix: fmt.Sprintf("/team%d/api/service%d/", i/10, i),
		})
	}
	for i := range benchMembers {
		r := tree.Routes[i%benchServices]
		members[r.Service] = append(members[r.Service], member(fmt.Sprint("i", i), string(r.Service), 1))
	}
	return tree, members
}

func BenchmarkLookup(b *testing.B) {
	tree, members := benchTree()
	table := route.Empty().WithTree(tree, func(n model.ServiceName) []model.Member { return members[n] })
	b.ReportAllocs()
	for b.Loop() {
		if table.Lookup("shop.example", "/team200/api/service2000/units/17", "GET", 0).Result != route.Matched {
			b.Fatal("no match")
		}
	}
}

func BenchmarkMemberChange(b *testing.B) {
	tree, members := benchTree()
	table := route.Empty().WithTree(tree, func(n model.ServiceName) []model.Member { return members[n] })
	name := tree.Routes[2000].Service
	fewer := members[name][1:]
	b.ReportAllocs()
	for b.Loop() {
		table = table.WithMembers(name, fewer).WithMembers(name, members[name])
	}
}

func BenchmarkRouteChange(b *testing.B) {
	tree, members := benchTree()
	of := func(n model.ServiceName) []model.Member { return members[n] }
	table := route.Empty().WithTree(tree, of)
	b.ReportAllocs()
	for b.Loop() {
		changed := *tree.Routes[2000]
		tree.Routes[2000] = &changed
		table = table.WithTree(tree, of)
	}
}
