package ctl

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// reasonConstant matches the declaration of a reason in internal/model.
var reasonConstant = regexp.MustCompile(`Reason\w+\s+Reason\s+=\s+"([a-z-]+)"`)

// TestOperationsPageNamesEveryReason checks that the table of refusals in
// docs/OPERATIONS.md has a row for each reason in the code.
func TestOperationsPageNamesEveryReason(t *testing.T) {
	code, err := os.ReadFile(filepath.Join("..", "model", "outcome.go"))
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	reasons := reasonConstant.FindAllSubmatch(code, -1)
	if len(reasons) == 0 {
		t.Fatal("no reasons found in the code")
	}
	for _, reason := range reasons {
		if row := "\n| `" + string(reason[1]) + "` | "; !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATIONS.md has no row for %s", reason[1])
		}
	}
}
