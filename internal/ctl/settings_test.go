package ctl

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/settings"
)

// settingsIntroduction begins the page.
const settingsIntroduction = `# Settings

Every setting of the programs. This page is made from the flags: after a change of them,
run ` + "`go generate ./internal/ctl`" + `. A flag goes before the environment variable of the same row.
Settings of the mesh itself (services, routes, runbook commands) are in [CONFIGURATION.md](CONFIGURATION.md).

`

// TestSettingsPage compares docs/SETTINGS.md with the flags. With -rewrite, as
// for the data-driven tests, it writes the page.
func TestSettingsPage(t *testing.T) {
	page := settingsIntroduction + reference(t, &settings.Daemon{}, "galenaleverd") + reference(t, &commands{}, "galenactl")
	page = page[:len(page)-1] // the last section ends with an empty line
	path := filepath.Join("..", "..", "docs", "SETTINGS.md")
	if flag.Lookup("rewrite").Value.String() == "true" {
		if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != page {
		t.Error("docs/SETTINGS.md is out of date; run go generate ./internal/ctl")
	}
}

func reference(t *testing.T, target any, name string) string {
	t.Helper()
	text, err := cli.Reference(target, name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
