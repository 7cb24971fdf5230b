package mesh

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/examples"
	"github.com/galenalever/galenalever/internal/model"
)

func (d Deployment) rootDocument() []byte { return d.example("root") }

// Document returns the example document of a team. It panics if there is none.
func (d Deployment) Document(team model.TeamName) []byte { return d.example("teams/" + string(team)) }

// example panics if the file does not exist.
func (d Deployment) example(name string) []byte {
	text, err := examples.Files.ReadFile(d.Name + "/" + name + ".yaml")
	if err != nil {
		panic(err) // all names are constants
	}
	return text
}

// AddRoute returns an example document with one more route. It appends the route at
// the end, since the routes are the last section of these documents. If the service
// is not declared, the document is invalid.
func AddRoute(document []byte, name, path, service string) []byte {
	text := strings.TrimRight(string(document), "\n")
	return fmt.Appendf(nil, "%s\n  %s: {path: %s, service: %s, idempotent: true}\n", text, name, path, service)
}

// AddUnsafeRoute is AddRoute for a POST route that is not idempotent.
func AddUnsafeRoute(document []byte, name, path, service string, deadline time.Duration) []byte {
	text := strings.TrimRight(string(document), "\n")
	return fmt.Appendf(nil, "%s\n  %s: {path: %s, methods: [POST], service: %s, deadline: %s}\n", text, name, path, service, deadline)
}

// Teams returns the teams of the deployment's services.
func (d Deployment) Teams() []model.TeamName {
	teams := make([]model.TeamName, len(d.Services))
	for i, s := range d.Services {
		teams[i] = model.ServiceName(s.Name).Team()
	}
	return teams
}

// PublishAll publishes the root document and the documents of all teams.
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
	_, err := m.Publish(model.RootKey, m.config.Deployment.rootDocument())
	return err
}

// Publish publishes a document under a key and returns its revision.
func (m *Mesh) Publish(key model.Key, text []byte) (model.Revision, error) {
	revision, err := m.Platform.Put(string(key), text)
	return model.Revision(revision), eris.Wrapf(err, "publishing %s", key)
}

// Remove removes the document of a key and returns the revision of the removal.
func (m *Mesh) Remove(key model.Key) model.Revision {
	return model.Revision(m.Platform.Delete(string(key)))
}
