package ctl_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/ctl"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// TestRunbookCommands runs the runbook commands on files and fake nodes. "file NAME"
// writes a file in $dir; "running NAME team=T" sets the variable $NAME to the subtree
// page of a node that runs the document.
func TestRunbookCommands(t *testing.T) {
	datadriven.Walk(t, "testdata/runbooks", func(t *testing.T, path string) {
		f := &fakeFleet{t: t, variables: map[string]string{"dir": t.TempDir()}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				f.write(d.CmdArgs[0].Key, d.Input)
				return ""
			case "running":
				f.variables[d.CmdArgs[0].Key] = subtreePage(t, d)
				return ""
			case "node":
				f.start(d.CmdArgs[0].Key, d.Input)
				return ""
			case "galenactl":
				return f.run(d.Input)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
				return ""
			}
		})
	})
}

func (f *fakeFleet) write(name, text string) {
	if err := os.WriteFile(filepath.Join(f.variables["dir"], name), []byte(text+"\n"), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// subtreePage returns the subtree page of a node that runs the document in the input.
func subtreePage(t *testing.T, d *datadriven.TestData) string {
	var team string
	d.ScanArgs(t, "team", &team)
	key := model.TeamKey(model.TeamName(team))
	subtree := document.NewSubtree(key, 7, []byte(d.Input), false)
	if err := subtree.Rejected.Err(); err != nil {
		t.Fatal(err)
	}
	running := &model.Configuration{Running: map[model.Key]*model.Subtree{key: subtree}}
	page, err := json.Marshal(status.NewSubtree(running, key))
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// TestExampleRunbooksHaveNoFindings detects example runbooks that do not fit the
// example document of their team.
func TestExampleRunbooksHaveNoFindings(t *testing.T) {
	for runbook, team := range map[string]string{
		"java/runbooks/campaign-opens.yaml":  "java/teams/katalog.yaml",
		"egypt/runbooks/auction-closes.yaml": "egypt/teams/bidding.yaml",
	} {
		examples := filepath.Join("..", "..", "examples")
		var stdout, stderr bytes.Buffer
		code := ctl.Main([]string{
			"runbook", "check", filepath.Join(examples, runbook),
			"--document", filepath.Join(examples, team),
		}, &stdout, &stderr)
		if code != cli.ExitOK || !strings.Contains(stdout.String(), "no findings") {
			t.Errorf("%s: exit code %d\n%s%s", runbook, code, &stdout, &stderr)
		}
	}
}
