package document

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// Edit applies settings to the text of a team's document. Comments and the order
// of the other fields are kept. The result is not validated; [ParseTeam] does
// that. A panic of the YAML library is returned as an error.
func Edit(text []byte, settings []model.Setting) (edited []byte, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			edited, err = nil, errNotYAML
		}
	}()
	for _, s := range settings {
		file, err := parser.ParseBytes(text, parser.ParseComments)
		if err != nil {
			return nil, eris.Wrap(err, "document")
		}
		if err := setValue(file, s); err != nil {
			return nil, eris.Errorf("setting %s to %s: %s", shorten(s.Path), quote(s.Value), firstLine(err))
		}
		text = []byte(file.String())
	}
	return text, nil
}

// setValue replaces the value at the path of the setting, or merges the missing
// part of the path into the deepest mapping that exists.
func setValue(file *ast.File, s model.Setting) error {
	segments := strings.Split(s.Path, ".")
	for depth := len(segments); depth >= 0; depth-- {
		path, err := yaml.PathString("$" + yamlPath(segments[:depth]))
		if err != nil {
			return err
		}
		old, err := path.FilterFile(file)
		if err != nil {
			continue
		}
		if depth == len(segments) {
			return replaceNode(file, path, old, s.Value)
		}
		return path.MergeFromReader(file, strings.NewReader(nestedYAML(segments[depth:], s.Value)))
	}
	return eris.New("top level of the document is not a mapping")
}

// replaceNode replaces the node at the path with the value and keeps the comment
// of the old node.
func replaceNode(file *ast.File, path *yaml.Path, old ast.Node, value string) error {
	comment := old.GetComment()
	if err := path.ReplaceWithReader(file, strings.NewReader(value)); err != nil {
		return err
	}
	node, err := path.FilterFile(file)
	if err != nil || comment == nil {
		return err
	}
	return node.SetComment(comment)
}

// firstLine returns the message of a YAML error without the document excerpt
// that follows it.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// yamlPath returns the segments as a suffix of a YAML path, each one quoted.
func yamlPath(segments []string) string {
	var b strings.Builder
	for _, segment := range segments {
		b.WriteString(".'" + segment + "'")
	}
	return b.String()
}

// nestedYAML returns YAML text of nested block mappings, one for each segment,
// with the value in the innermost one.
func nestedYAML(segments []string, value string) string {
	var b strings.Builder
	for i, segment := range segments {
		b.WriteString(strings.Repeat("  ", i) + segment + ":")
		if i < len(segments)-1 {
			b.WriteString("\n")
		}
	}
	return b.String() + " " + value + "\n"
}
