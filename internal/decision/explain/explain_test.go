package explain_test

import (
	"strings"
	"testing"

	"github.com/galenalever/galenalever/internal/decision/explain"
)

const logs = `
{"time":"2026-01-01T00:00:01.79Z","msg":"gate","instance":"n1","request":"r1","attempt":1,"target":"i-1","outcome":"not-run","reason":"late","running":6,"queued":7,"slots":6}
{"time":"2026-01-01T00:00:01.80Z","msg":"attempt","instance":"n2","request":"r1","attempt":1,"to":"i-1","outcome":"not-run","reason":"late","next":"finish","over_budget":true}
{"time":"2026-01-01T00:00:01.81Z","msg":"request","instance":"n2","request":"r1","outcome":"not-run","reason":"late","status":503,"attempts":1}
{"time":"2026-01-01T00:00:02.00Z","msg":"attempt","instance":"n2","request":"r2","attempt":1,"to":"i-2","outcome":"unknown","reason":"connection-lost","took_ms":185,"idempotent":false,"next":"finish"}
{"time":"2026-01-01T00:00:02.01Z","msg":"request","instance":"n2","request":"r2","outcome":"unknown","reason":"connection-lost","status":502,"attempts":1}
prefix of a collector {"time":"2026-01-01T00:00:03.00Z","msg":"gate","instance":"n1","request":"r3","target":"i-1","outcome":"answered","status":200,"waited_ms":700,"ran_ms":100,"running":6,"slots":6}
{"time":"2026-01-01T00:00:03.01Z","msg":"request","instance":"n2","request":"r3","outcome":"answered","status":200,"took_ms":820,"late":true,"configuration":17,"configuration_age_ms":4}
{"time":"2026-01-01T00:00:04.00Z","msg":"request","instance":"n1","request":"r4.c1","outcome":"not-run","reason":"no-server","status":503}
{"time":"2026-01-01T00:00:04.01Z","msg":"request","instance":"n2","request":"r4","outcome":"answered","status":500}
`

func parse(t *testing.T, text string) []explain.Line {
	t.Helper()
	var lines []explain.Line
	for text := range strings.Lines(strings.TrimSpace(text)) {
		line, err := explain.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

// TestCauses checks the cause of one failed request of each kind, and that it is not
// found if the decisive line is missing.
func TestCauses(t *testing.T) {
	cases := []struct{ id, cause, decisive string }{
		{"r1", "refused as not run: late; the gate of i-1 ran 6 requests in 6 slots and 7 waited; the retry budget was used up", `"msg":"gate","instance":"n1","request":"r1"`},
		{"r2", "outcome unknown: connection-lost at i-2 after 185 ms in attempt 1; it may have run, so it was not sent again", `"msg":"attempt","instance":"n2","request":"r2"`},
		{"r3", "answered with status 200 after 820 ms; at i-1 it waited 700 ms and ran 100 ms; configuration 17, in force for 4 ms", `"msg":"gate","instance":"n1","request":"r3"`},
		{"r4", "a call that it made failed: r4.c1 no-server at n1", `"request":"r4.c1"`},
	}
	for _, c := range cases {
		if got := explain.Request(parse(t, logs), c.id).Cause; got != c.cause {
			t.Errorf("%s: %q, want %q", c.id, got, c.cause)
		}
		var rest strings.Builder
		for line := range strings.Lines(logs) {
			if !strings.Contains(line, c.decisive) {
				rest.WriteString(line)
			}
		}
		if explain.Request(parse(t, rest.String()), c.id).Cause == c.cause {
			t.Errorf("%s: the cause is found without its decisive line", c.id)
		}
	}
}

// TestFailedGroups checks that requests which were refused, have an unknown outcome or
// were answered with a server error are counted, and late ones are not.
func TestFailedGroups(t *testing.T) {
	groups := explain.Failed(parse(t, logs))
	if len(groups) != 4 || groups[0].Count != 1 {
		t.Fatalf("groups = %+v, want 4 of one request each", groups)
	}
}

// FuzzParse checks that every line that can be parsed can also be explained.
func FuzzParse(f *testing.F) {
	for line := range strings.Lines(strings.TrimSpace(logs)) {
		f.Add([]byte(line))
	}
	f.Add([]byte("no object"))
	f.Add([]byte(`{"time":"yesterday","request":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		line, err := explain.Parse(text)
		if err != nil {
			return
		}
		if explain.Request([]explain.Line{line}, line.Request).Cause == "" || line.String() == "" {
			t.Fatalf("no cause or text for line %q", text)
		}
		explain.Failed([]explain.Line{line})
	})
}
