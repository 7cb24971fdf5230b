package document_test

import (
	"testing"

	"github.com/galenalever/galenalever/internal/decision/runbook"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/model"
)

// FuzzParseRunbook checks that any text gives findings, or one action for each step
// when bound to the commands of a team.
func FuzzParseRunbook(f *testing.F) {
	f.Add([]byte("team: a\nsteps:\n  - {command: c, with: {p: 1}, timeout: 5s}"))
	f.Add([]byte("team: a\nsteps: [{command: c, with: {p: [1], q: }}, {}]"))
	f.Add([]byte("team: {a: b}\nsteps:\n  -\n  - - command: c"))
	f.Add([]byte("steps: &x [*x]\nteam: !!a b\n---\n..."))
	vocabulary := []*model.Command{{Team: "a", Name: "c", Parameters: []string{"p"}, Set: []model.Setting{{Path: "services.s.slots", Value: "${p}"}}}}
	f.Fuzz(func(t *testing.T, text []byte) {
		book, list := document.ParseRunbook("fuzz", text)
		actions, unbound := runbook.Bind(book, vocabulary)
		if len(list) == 0 && (book.Team == "" || len(book.Steps) == 0) {
			t.Fatal("a runbook without team or steps has no findings")
		}
		if len(list)+len(unbound) == 0 && len(actions) != len(book.Steps) {
			t.Fatalf("%d actions from %d steps", len(actions), len(book.Steps))
		}
	})
}

// FuzzEdit checks that any setting gives an error, or a document from which
// ParseTeam returns leaves or findings.
func FuzzEdit(f *testing.F) {
	const text = "# Head.\nteam: a\nservices:\n  s: {slots: 6} # tail\nroutes:\n  r:\n    path: /x/ # why\n    service: s\n"
	f.Add("services.s.slots", "3")
	f.Add("services.s", "{slots: 1}")
	f.Add("routes.r.retry.attempts", "2")
	f.Add("routes.r.methods", "[GET")
	f.Add("routes..'r", "a: b: c")
	f.Add("services.s.slots", "3\ncommands: {}")
	f.Fuzz(func(t *testing.T, path, value string) {
		edited, err := document.Edit([]byte(text), []model.Setting{{Path: path, Value: value}})
		if err != nil {
			return
		}
		leaves, list := document.ParseTeam("fuzz", "a", edited)
		if len(leaves) == 0 && len(list) == 0 {
			t.Fatalf("no leaves and no findings from %q", edited)
		}
	})
}
