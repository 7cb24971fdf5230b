package document

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// Edit returns the text of a team's document with the settings put in place.
// Comments and the order of the other fields are kept. The result is not
// checked; parse it to find faults. A panic of the YAML library is reported as
// an error.
func Edit(text []byte, settings []model.Setting) (edited []byte, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			edited, err = nil, errNotYAML
		}
	}()
	for _, s := range settings {
		file, err := parser.ParseBytes(text, parser.ParseComments)
		if err != nil {
			return nil, eris.Wrap(err, "document")
		}
		if err := put(file, s); err != nil {
			return nil, eris.Errorf("setting %s to %s: %s", shorten(s.Path), quote(s.Value), firstLine(err))
		}
		text = []byte(file.String())
	}
	return text, nil
}

// put replaces the value at the path, or merges the missing part of the path
// into the deepest mapping that exists.
func put(file *ast.File, s model.Setting) error {
	segments := strings.Split(s.Path, ".")
	for depth := len(segments); depth >= 0; depth-- {
		path, err := yaml.PathString("$" + dotted(segments[:depth]))
		if err != nil {
			return err
		}
		old, err := path.FilterFile(file)
		if err != nil {
			continue
		}
		if depth == len(segments) {
			return replace(file, path, old, s.Value)
		}
		return path.MergeFromReader(file, strings.NewReader(nested(segments[depth:], s.Value)))
	}
	return eris.New("document has no mapping at its top")
}

// replace puts the value in place of the old node and keeps its comment.
func replace(file *ast.File, path *yaml.Path, old ast.Node, value string) error {
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

// firstLine returns the message of a YAML error without the excerpt of the
// document.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

func dotted(segments []string) string {
	var b strings.Builder
	for _, segment := range segments {
		b.WriteString(".'" + segment + "'")
	}
	return b.String()
}

// nested returns YAML text with the value below the segments.
func nested(segments []string, value string) string {
	var b strings.Builder
	for i, segment := range segments {
		b.WriteString(strings.Repeat("  ", i) + segment + ":")
		if i < len(segments)-1 {
			b.WriteString("\n")
		}
	}
	return b.String() + " " + value + "\n"
}
