package chaos

import (
	"fmt"
	"maps"
	"sync"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

// publisher publishes good and bad versions of the teams' documents, as operators do,
// and records which of them every node must run in the end.
type publisher struct {
	mesh     *mesh.Mesh
	observer *mesh.Observer

	mu sync.Mutex
	// lastGood holds the revision of the last good version of each document.
	lastGood map[model.Key]model.Revision
}

func newPublisher(m *mesh.Mesh, o *mesh.Observer) *publisher {
	return &publisher{mesh: m, observer: o, lastGood: make(map[model.Key]model.Revision)}
}

// publishAll publishes the root document and the initial document of each team.
func (p *publisher) publishAll() error {
	if err := p.mesh.PublishRoot(); err != nil {
		return err
	}
	for _, team := range mesh.Egypt().Teams() {
		if err := p.publish(team, document(team), true); err != nil {
			return err
		}
	}
	return nil
}

// publishGood publishes a valid version of a team's document with a route named after
// the number.
func (p *publisher) publishGood(team model.TeamName, number int) error {
	return p.publish(team, p.documentWithRoute(team, number, string(team)), true)
}

// publishBad publishes a version that must never be in force: it has a route to a
// service that no document declares.
func (p *publisher) publishBad(team model.TeamName, number int) error {
	return p.publish(team, p.documentWithRoute(team, number, "missing"), false)
}

// grantedPaths holds, for each team, a path that the root document grants to it.
var grantedPaths = map[model.TeamName]string{"catalogue": "/lots/", "bidding": "/bids/", "inspection": "/photographs/"}

func (p *publisher) documentWithRoute(team model.TeamName, number int, service string) []byte {
	name := fmt.Sprintf("version-%d", number)
	return mesh.AddRoute(document(team), name, grantedPaths[team]+name+"/", service)
}

// publish also records whether the version is good.
func (p *publisher) publish(team model.TeamName, text []byte, good bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := model.TeamKey(team)
	revision, err := p.mesh.Publish(key, text)
	if err != nil {
		return err
	}
	if good {
		p.lastGood[key] = revision
	} else {
		p.observer.Forbid(key, revision)
	}
	return nil
}

// expected returns the minimum revision of each document that must be in force in the
// end.
func (p *publisher) expected() map[model.Key]model.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.lastGood)
}
