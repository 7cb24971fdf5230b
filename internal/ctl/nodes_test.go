package ctl_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/ctl"
)

// fakeFleet serves the operator ports of fake nodes. The input of the command that
// starts a node lists its pages, one "path body" in each line. If a path is listed
// several times, its bodies are served in turn and the last one from then on. $name
// is replaced by the value of a variable, such as the address of another node.
type fakeFleet struct {
	t         *testing.T
	variables map[string]string
}

// TestNodeCommands runs the commands that query nodes. In the output, addresses are
// replaced by the names of the nodes.
func TestNodeCommands(t *testing.T) {
	datadriven.Walk(t, "testdata/nodes", func(t *testing.T, path string) {
		f := &fakeFleet{t: t, variables: make(map[string]string)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
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

func (f *fakeFleet) start(name, pages string) {
	bodies := make(map[string][]string)
	for line := range strings.Lines(pages) {
		path, body, _ := strings.Cut(strings.TrimSpace(line), " ")
		bodies[path] = append(bodies[path], body)
	}
	mux := http.NewServeMux()
	for path, bodies := range bodies {
		var calls atomic.Int64
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			call := int(calls.Add(1)) - 1
			fmt.Fprint(w, f.expand(bodies[min(call, len(bodies)-1)]))
		})
	}
	server := httptest.NewServer(mux)
	f.t.Cleanup(server.Close)
	f.variables[name] = server.Listener.Addr().String()
	if pages == "" { // a node that has stopped
		server.Close()
	}
}

func (f *fakeFleet) run(arguments string) string {
	var stdout, stderr strings.Builder
	code := ctl.Main(strings.Fields(f.expand(arguments)), &stdout, &stderr)
	return fmt.Sprintf("%s%sexit code %d\n", f.collapse(stdout.String()), f.collapse(stderr.String()), code)
}

// expand replaces the names of variables by their values.
func (f *fakeFleet) expand(text string) string {
	for name, value := range f.variables {
		text = strings.ReplaceAll(text, "$"+name, value)
	}
	return text
}

// collapse replaces the values of variables by their names.
func (f *fakeFleet) collapse(text string) string {
	for name, value := range f.variables {
		text = strings.ReplaceAll(text, value, "$"+name)
	}
	return text
}
