package chaos

import (
	"fmt"
	"maps"
	"sync"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

// publisher plays the operators: it publishes good and bad versions and knows
// which of them must be in force in the end.
type publisher struct {
	mesh     *mesh.Mesh
	observer *mesh.Observer

	mu   sync.Mutex
	good map[model.Key]model.Revision
}

func newPublisher(m *mesh.Mesh, o *mesh.Observer) *publisher {
	return &publisher{mesh: m, observer: o, good: make(map[model.Key]model.Revision)}
}

func (p *publisher) publishAll() error {
	if err := p.mesh.PublishRoot(); err != nil {
		return err
	}
	for _, team := range mesh.Egypt().Teams() {
		if err := p.publish(team, mesh.Egypt().Document(team), true); err != nil {
			return err
		}
	}
	return nil
}

// publishGood publishes a valid version of a team's document with a route that
// carries the number.
func (p *publisher) publishGood(team model.TeamName, number int) error {
	return p.publish(team, p.numbered(team, number, string(team)), true)
}

// publishBad publishes a version that must never be in force: it has a route to
// a service that nobody declares.
func (p *publisher) publishBad(team model.TeamName, number int) error {
	return p.publish(team, p.numbered(team, number, "missing"), false)
}

// paths holds a path that each team is granted.
var paths = map[model.TeamName]string{"catalogue": "/lots", "bidding": "/bids", "inspection": "/photographs"}

func (p *publisher) numbered(team model.TeamName, number int, service string) []byte {
	name := fmt.Sprintf("version-%d", number)
	return mesh.AddRoute(mesh.Egypt().Document(team), name, paths[team]+"/"+name, service)
}

func (p *publisher) publish(team model.TeamName, text []byte, good bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := model.TeamKey(team)
	revision, err := p.mesh.Publish(key, text)
	if err != nil {
		return err
	}
	if good {
		p.good[key] = revision
	} else {
		p.observer.Forbid(key, revision)
	}
	return nil
}

// expected returns the least revision of each key that must be in force.
func (p *publisher) expected() map[model.Key]model.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.good)
}
