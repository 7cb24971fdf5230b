// Package mesh runs a whole deployment on loopback: the platform stand-in and, for
// each instance, a backend server stand-in, a real node process and simulated
// network links to the node.
package mesh

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Deployment describes the services and failure domains of a mesh.
type Deployment struct {
	// Name is the folder of the deployment's documents in package examples.
	Name     string
	Domains  []string
	Services []Service
	// LinkDelay is the one-way network delay between nodes.
	LinkDelay time.Duration
}

// Service is a service and the number of its instances.
type Service struct {
	// Name has the form team/service.
	Name      string
	Instances int
}

// Instance is one instance of a deployment. Its service has the form team/service.
type Instance struct{ ID, Service, Domain string }

// Java returns the deployment of the Javanese association: three failure domains
// and 14 instances.
func Java() Deployment {
	return Deployment{
		Name:    "java",
		Domains: []string{"jkt", "smg", "sby"},
		Services: []Service{
			{Name: "katalog/katalog", Instances: 6},
			{Name: "pemesanan/pemesanan", Instances: 5},
			{Name: "berkas/berkas", Instances: 3},
		},
		LinkDelay: 4 * time.Millisecond,
	}
}

// Egypt returns the deployment of the Egyptian holding: four failure domains and
// 14 instances.
func Egypt() Deployment {
	return Deployment{
		Name:    "egypt",
		Domains: []string{"cairo-a", "cairo-b", "giza", "alex"},
		Services: []Service{
			{Name: "catalogue/catalogue", Instances: 6},
			{Name: "bidding/bidding", Instances: 4},
			{Name: "inspection/inspection", Instances: 4},
		},
		LinkDelay: 3 * time.Millisecond,
	}
}

// Scaled returns the deployment with about the given number of instances in the same
// proportions. Every service keeps at least one instance in each failure domain.
func (d Deployment) Scaled(instances int) Deployment {
	present := len(d.Instances())
	scaled := d
	scaled.Services = slices.Clone(d.Services)
	for i := range scaled.Services {
		count := (scaled.Services[i].Instances*instances + present/2) / present
		scaled.Services[i].Instances = max(count, len(d.Domains))
	}
	return scaled
}

// Instances returns all instances, assigned to the failure domains in turn.
func (d Deployment) Instances() []Instance {
	var all []Instance
	for _, s := range d.Services {
		_, short, _ := strings.Cut(s.Name, "/")
		for i := range s.Instances {
			all = append(all, Instance{
				ID:      fmt.Sprintf("%s-%d", short, i+1),
				Service: s.Name,
				Domain:  d.Domains[len(all)%len(d.Domains)],
			})
		}
	}
	return all
}
