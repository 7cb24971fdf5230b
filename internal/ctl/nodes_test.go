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

// fakeFleet plays operator ports. The pages of a node are the input of the
// command that starts it, one "path body" in each line; $name stands for the
// address of another node. A path that stands several times gets its bodies in
// turn, the last one from then on.
type fakeFleet struct {
	t         *testing.T
	addresses map[string]string
}

// TestNodes runs the commands that ask nodes. In the output, addresses are
// replaced by the names of the nodes.
func TestNodes(t *testing.T) {
	datadriven.Walk(t, "testdata/nodes", func(t *testing.T, path string) {
		f := &fakeFleet{t: t, addresses: make(map[string]string)}
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
	f.addresses[name] = server.Listener.Addr().String()
	if pages == "" { // a node that went away
		server.Close()
	}
}

func (f *fakeFleet) run(arguments string) string {
	var out, faults strings.Builder
	code := ctl.Main(strings.Fields(f.expand(arguments)), &out, &faults)
	return fmt.Sprintf("%s%sexit code %d\n", f.collapse(out.String()), f.collapse(faults.String()), code)
}

func (f *fakeFleet) expand(text string) string {
	for name, address := range f.addresses {
		text = strings.ReplaceAll(text, "$"+name, address)
	}
	return text
}

func (f *fakeFleet) collapse(text string) string {
	for name, address := range f.addresses {
		text = strings.ReplaceAll(text, address, "$"+name)
	}
	return text
}
