package chaos

import (
	"bytes"
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
	if _, err := p.mesh.Publish(model.RootKey, mesh.Egypt().Document("root")); err != nil {
		return err
	}
	for _, team := range mesh.Egypt().Teams() {
		if err := p.publishGood(team, 0); err != nil {
			return err
		}
	}
	return nil
}

// publishGood publishes a valid version of a team's document that differs from
// the others by its number.
func (p *publisher) publishGood(team model.TeamName, number int) error {
	text := mesh.Egypt().Document(string(team))
	text = bytes.ReplaceAll(text, []byte("slow_start: 1s"), fmt.Appendf(nil, "slow_start: %dms", 1000+number))
	return p.publish(team, text, true)
}

// publishBad publishes a version that must never be in force: a route to a
// service that nobody declares.
func (p *publisher) publishBad(team model.TeamName, number int) error {
	text := mesh.Egypt().Document(string(team))
	text = fmt.Appendf(text, "  broken-%d:\n    service: %s/missing-%d\n", number, team, number)
	return p.publish(team, text, false)
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
