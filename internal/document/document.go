// Package document encodes the settings tree: it parses and checks the YAML
// documents that operators publish, encodes them as canonical leaves, and
// decodes leaves into typed values. All errors in a document are reported
// together, each with its line and column.
package document

import (
	"encoding/json"

	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// Limits of one document.
const (
	// MaxBytes is the largest size of a document in bytes: the platform stores no
	// larger value.
	MaxBytes = 1 << 20
	// maxFindings bounds the findings of one document, because they are sent
	// between nodes. One more finding gives the number that was left out.
	maxFindings = 50
)

// ParseRoot parses the root document. The leaves are nil if there are findings.
// The source is the document's name in findings.
func ParseRoot(source string, text []byte) ([]model.Leaf, findings.List) {
	r := &reader{source: source}
	var declarations model.Declarations
	if body, ok := r.parse(text); ok {
		declarations.Grants = r.root(body)
	}
	return r.leavesOrFindings(declarations)
}

// ParseTeam parses the document of a team. The leaves are nil if there are
// findings. The source is the document's name in findings.
func ParseTeam(source string, team model.TeamName, text []byte) ([]model.Leaf, findings.List) {
	r := &reader{source: source}
	var declarations model.Declarations
	if body, ok := r.parse(text); ok {
		declarations = r.team(body, team)
	}
	return r.leavesOrFindings(declarations)
}

// leavesOrFindings returns the encoded declarations, or the sorted findings if
// there are any.
func (r *reader) leavesOrFindings(declarations model.Declarations) ([]model.Leaf, findings.List) {
	if len(r.list) > 0 {
		r.list.Sort()
		return nil, truncateFindings(r.list, r.source)
	}
	return Encode(declarations), nil
}

// truncateFindings keeps the first maxFindings findings and adds one that counts
// the rest.
func truncateFindings(list findings.List, source string) findings.List {
	if len(list) <= maxFindings {
		return list
	}
	rest := len(list) - maxFindings
	list = list[:maxFindings:maxFindings]
	list.Addf(findings.Location{Source: source}, "%d more findings", rest)
	return list
}

// Path prefixes of leaves by the kind of their declaration.
const (
	servicesPath = "services/"
	routesPath   = "routes/"
	grantsPath   = "grants/"
	commandsPath = "commands/"
	// evacuationsPath is followed by the failure domain.
	evacuationsPath = "evacuations/"
)

// Encode returns the canonical leaves of the declarations, sorted by path.
func Encode(declarations model.Declarations) []model.Leaf {
	leaves := make([]model.Leaf, 0, len(declarations.Services)+len(declarations.Routes)+len(declarations.Grants))
	for _, service := range declarations.Services {
		leaves = append(leaves, leaf(servicesPath+shortName(service.Name), service))
	}
	for _, route := range declarations.Routes {
		leaves = append(leaves, leaf(routesPath+route.Name, route))
	}
	for _, grant := range declarations.Grants {
		leaves = append(leaves, leaf(grantsPath+string(grant.Team), grant))
	}
	for _, command := range declarations.Commands {
		leaves = append(leaves, leaf(commandsPath+command.Name, command))
	}
	for _, evacuation := range declarations.Evacuations {
		leaves = append(leaves, leaf(evacuationsPath+string(evacuation.Domain), evacuation))
	}
	model.SortLeaves(leaves)
	return leaves
}

func leaf(path string, value any) model.Leaf {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: all declaration types can be marshalled
	}
	return model.Leaf{Path: path, Value: encoded}
}
