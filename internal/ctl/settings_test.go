package ctl

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/settings"
)

// settingsIntroduction is the start of docs/SETTINGS.md.
const settingsIntroduction = `# Settings

All settings of the programs. This page is generated from the flags: after changing one,
run ` + "`go generate ./internal/ctl`" + `. A flag takes precedence over the environment variable
of the same row. Settings of the mesh itself (services, routes, runbook commands) are in
[CONFIGURATION.md](CONFIGURATION.md).

`

// TestSettingsPage compares docs/SETTINGS.md with the flags. With the flag -rewrite of
// the datadriven package it writes the page.
func TestSettingsPage(t *testing.T) {
	page := settingsIntroduction + reference(t, &settings.Daemon{}, "galenaleverd") + reference(t, &commands{}, "galenactl")
	page = page[:len(page)-1] // without the empty line at the end of the last section
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

// reference returns the section of the page for one program.
func reference(t *testing.T, target any, name string) string {
	t.Helper()
	text, err := cli.Reference(target, name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
