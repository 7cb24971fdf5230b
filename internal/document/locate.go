package document

import (
	"strings"

	"github.com/galenalever/galenalever/internal/findings"
)

// Locate returns the place of a path of the settings tree, such as
// "routes.book.service", in a document. A path that the document leaves out is
// located at its nearest ancestor.
func Locate(source string, text []byte, path string) findings.Location {
	r := &reader{source: source}
	current, ok := r.parse(text)
	if !ok {
		return findings.Location{Source: source, Path: path}
	}
	for name := range strings.SplitSeq(path, ".") {
		next, ok := r.child(current, name)
		if !ok {
			break
		}
		current = next
	}
	place := r.place(current)
	place.Path = path
	return place
}

func (r *reader) child(v value, name string) (value, bool) {
	for _, e := range r.entries(v) {
		if e.name == name {
			return e.value, true
		}
	}
	return value{}, false
}
