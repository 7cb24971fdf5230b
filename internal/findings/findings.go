// Package findings collects faults together with their place, so that an
// operator sees all of them in one report.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Location locates a fault. Empty fields are unknown.
type Location struct {
	// Source names the document, flag or file.
	Source string `json:"source,omitempty"`
	// Path is the position in the settings tree, such as "routes.book.service".
	Path string `json:"path,omitempty"`
	// Line and Column count from 1; 0 means unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// String formats the place as source:line:column: path.
func (p Location) String() string {
	var b strings.Builder
	b.WriteString(p.Source)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	if p.Path != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(p.Path)
	}
	return b.String()
}

// Finding is one fault at one place.
type Finding struct {
	Location Location `json:"place"`
	Message  string   `json:"message"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	if place := f.Location.String(); place != "" {
		return place + ": " + f.Message
	}
	return f.Message
}

// List is a set of findings. The zero value is ready to use. A List is not
// safe for concurrent use.
type List []Finding

// Addf appends a finding with a formatted message.
func (l *List) Addf(place Location, format string, args ...any) {
	*l = append(*l, Finding{Location: place, Message: fmt.Sprintf(format, args...)})
}

// Sort orders the findings by place, then message.
func (l List) Sort() {
	slices.SortFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Location.Source, b.Location.Source),
			cmp.Compare(a.Location.Line, b.Location.Line),
			cmp.Compare(a.Location.Column, b.Location.Column),
			cmp.Compare(a.Location.Path, b.Location.Path),
			cmp.Compare(a.Message, b.Message),
		)
	})
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return Error{Findings: l}
}

// Error reports one or more findings together.
type Error struct{ Findings List }

// Error implements error with one line per finding.
func (e Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
