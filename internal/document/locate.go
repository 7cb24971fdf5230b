package document

import (
	"strings"

	"github.com/galenalever/galenalever/internal/findings"
)

// Locate returns the location in a document of a path of the settings tree, such as
// "routes.book.service". If the document has no such path, the location is that of
// its nearest ancestor.
func Locate(source string, text []byte, path string) findings.Location {
	r := &reader{source: source}
	current, ok := r.parse(text)
	if !ok {
		return findings.Location{Source: source, Path: path}
	}
	for name := range strings.SplitSeq(path, ".") {
		next, ok := r.childValue(current, name)
		if !ok {
			break
		}
		current = next
	}
	location := r.location(current)
	location.Path = path
	return location
}

// childValue returns false if v is no mapping or lacks the key.
func (r *reader) childValue(v value, name string) (value, bool) {
	for _, e := range r.entries(v) {
		if e.name == name {
			return e.value, true
		}
	}
	return value{}, false
}
