package mesh

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/examples"
	"github.com/galenalever/galenalever/internal/model"
)

// root returns the example root document of a deployment.
func (d Deployment) root() []byte { return d.file("root") }

// Document returns the example document of a team.
func (d Deployment) Document(team model.TeamName) []byte { return d.file("teams/" + string(team)) }

func (d Deployment) file(name string) []byte {
	text, err := examples.Files.ReadFile(d.Name + "/" + name + ".yaml")
	if err != nil {
		panic(err) // the names are fixed in the code
	}
	return text
}

// AddRoute returns a document with a further route. The routes stand last in the
// example documents. A service that is not declared makes the version bad.
func AddRoute(document []byte, name, path, service string) []byte {
	text := strings.TrimRight(string(document), "\n")
	return fmt.Appendf(nil, "%s\n  %s: {path: %s, service: %s, idempotent: true}\n", text, name, path, service)
}

// Teams returns the teams of the deployment's services.
func (d Deployment) Teams() []model.TeamName {
	teams := make([]model.TeamName, len(d.Services))
	for i, s := range d.Services {
		teams[i] = model.ServiceName(s.Name).Team()
	}
	return teams
}

// PublishAll publishes the root document and those of all teams.
func (m *Mesh) PublishAll() error {
	if err := m.PublishRoot(); err != nil {
		return err
	}
	for _, team := range m.config.Deployment.Teams() {
		if _, err := m.Publish(model.TeamKey(team), m.config.Deployment.Document(team)); err != nil {
			return err
		}
	}
	return nil
}

// PublishRoot publishes the root document.
func (m *Mesh) PublishRoot() error {
	_, err := m.Publish(model.RootKey, m.config.Deployment.root())
	return err
}

// Publish publishes one document and returns its revision.
func (m *Mesh) Publish(key model.Key, text []byte) (model.Revision, error) {
	revision, err := m.Platform.Put(string(key), text)
	return model.Revision(revision), eris.Wrapf(err, "publishing %s", key)
}
