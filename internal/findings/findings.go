// Package findings collects errors with their locations, so that an operator
// sees all of them in one report.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Location is where an error was found. Empty fields are unknown.
type Location struct {
	// Source names the document, flag or file.
	Source string `json:"source,omitempty"`
	// Path is the position in the settings tree, such as "routes.book.service".
	Path string `json:"path,omitempty"`
	// Line and Column count from 1; 0 means unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// String formats the location as source:line:column: path.
func (l Location) String() string {
	var b strings.Builder
	b.WriteString(l.Source)
	if l.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", l.Line, l.Column)
	}
	if l.Path != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(l.Path)
	}
	return b.String()
}

// Finding is one error at one location.
type Finding struct {
	Location Location `json:"place"`
	Message  string   `json:"message"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	if location := f.Location.String(); location != "" {
		return location + ": " + f.Message
	}
	return f.Message
}

// List collects findings. The zero value is ready to use. A List is not
// safe for concurrent use.
type List []Finding

// Addf appends a finding with a formatted message.
func (l *List) Addf(location Location, format string, args ...any) {
	*l = append(*l, Finding{Location: location, Message: fmt.Sprintf(format, args...)})
}

// Sort orders the findings by location, then message.
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
