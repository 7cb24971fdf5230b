package source_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/source"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

// TestClient runs the script testdata/client against the stand-in platform. It checks
// that the client reads the platform's responses correctly and tells its errors apart.
// The commands put, delete, instance and mode change the stand-in; keys, value and
// instances call the client.
func TestClient(t *testing.T) {
	p := platform.New(platform.Config{Limit: 1000})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := source.NewClient(server.URL)
	datadriven.RunTest(t, "testdata/client", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "put":
			revision, err := p.Put(d.CmdArgs[0].Key, []byte(d.Input))
			return fmt.Sprintf("revision %d, %v", revision, err)
		case "delete":
			return fmt.Sprintf("revision %d", p.Delete(d.CmdArgs[0].Key))
		case "instance":
			p.PutInstance(platform.Instance{ID: d.CmdArgs[0].Key, Domain: "jkt", State: d.CmdArgs[1].Key})
		case "mode":
			p.SetMode(platform.Mode{Outage: platform.Outage(d.CmdArgs[0].Key)})
		case "keys":
			return listKeys(t, client, after(t, d))
		case "value":
			v, err := client.Value(t.Context(), model.Key(d.CmdArgs[0].Key))
			return fmt.Sprintf("revision %d: %s%s", v.Revision, v.Text, describe(err))
		case "instances":
			return listInstances(t, client, after(t, d))
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		return ""
	})
}

func after(t *testing.T, d *datadriven.TestData) model.Revision {
	var n uint64
	d.ScanArgs(t, "after", &n)
	return model.Revision(n)
}

func listKeys(t *testing.T, client *source.Client, after model.Revision) string {
	list, err := client.Keys(t.Context(), after, 0)
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d%s\n", list.Revision, describe(err))
	for _, c := range list.Changes {
		fmt.Fprintf(&b, "%s at %d, deleted %t\n", c.Key, c.Revision, c.Deleted)
	}
	return b.String()
}

func listInstances(t *testing.T, client *source.Client, after model.Revision) string {
	list, err := client.Instances(t.Context(), after, 0)
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d%s\n", list.Revision, describe(err))
	for _, m := range list.Members {
		fmt.Fprintf(&b, "%s in %s is %s at %d\n", m.ID, m.Domain, m.Listed, m.ListedAt)
	}
	return b.String()
}

func describe(err error) string {
	var busy *source.BusyError
	switch {
	case err == nil:
		return ""
	case errors.Is(err, source.ErrNoValue):
		return ", no such value"
	case errors.As(err, &busy):
		return fmt.Sprintf(", busy, retry after %s", busy.RetryAfter)
	default:
		return ", failed"
	}
}
