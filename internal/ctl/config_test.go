package ctl_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/ctl"
)

// TestConfigCheck runs "galenactl config check" on settings trees. The command "file
// PATH" writes a document, and "check" runs the check.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/config_check", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "file" {
			path := filepath.Join(dir, d.CmdArgs[0].Key)
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(d.Input), 0o644); err != nil {
				t.Fatal(err)
			}
			return ""
		}
		var stdout, stderr bytes.Buffer
		code := ctl.Main([]string{"config", "check", dir}, &stdout, &stderr)
		out := fmt.Sprintf("%s%sexit code %d\n", &stdout, &stderr, code)
		return strings.ReplaceAll(out, dir+string(filepath.Separator), "")
	})
}

// TestExamplesHaveNoFindings detects example settings trees that a change of the checks
// has made invalid.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"java", "egypt"} {
		var stdout, stderr bytes.Buffer
		dir := filepath.Join("..", "..", "examples", name)
		if code := ctl.Main([]string{"config", "check", dir}, &stdout, &stderr); code != cli.ExitOK {
			t.Errorf("%s: exit code %d\n%s%s", name, code, &stdout, &stderr)
		}
		if want := "documents: 4, no findings\n"; stdout.String() != want {
			t.Errorf("%s: output %s, want %s", name, &stdout, want)
		}
	}
}
