package mesh

import (
	"embed"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

//go:embed documents
var documents embed.FS

// Document returns an embedded document of a deployment, such as "katalog".
func (d Deployment) Document(name string) []byte {
	text, err := documents.ReadFile("documents/" + d.Name + "/" + name + ".yaml")
	if err != nil {
		panic(err) // the names are fixed in the code
	}
	return text
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
	d := m.config.Deployment
	if _, err := m.Publish(model.RootKey, d.Document("root")); err != nil {
		return err
	}
	for _, team := range d.Teams() {
		if _, err := m.Publish(model.TeamKey(team), d.Document(string(team))); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes one document and returns its revision.
func (m *Mesh) Publish(key model.Key, text []byte) (model.Revision, error) {
	revision, err := m.Platform.Put(string(key), text)
	return model.Revision(revision), eris.Wrapf(err, "publishing %s", key)
}
