package mesh

import (
	"testing"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// reports returns one node's report of its cut and the revision of one key.
func reports(cut, revision model.Revision) Reports {
	version := status.Version{Cut: cut, Running: map[model.Key]model.Revision{"root": revision}}
	return Reports{"katalog-1": {Version: version}}
}

func TestObserverSeesOlderAndBadVersions(t *testing.T) {
	cases := []struct {
		name string
		then Reports
		want int
	}{
		{"the same", reports(5, 3), 0},
		{"a newer one", reports(6, 4), 0},
		{"a fresh process without a configuration", reports(0, 0), 0},
		{"an older cut", reports(4, 3), 1},
		{"an older subtree", reports(5, 2), 1},
		{"a subtree that vanished", Reports{"katalog-1": {Version: status.Version{Cut: 5}}}, 1},
		{"a bad version", reports(9, 9), 1},
		{"another node", Reports{"katalog-2": {Version: status.Version{Cut: 1}}}, 0},
	}
	for _, c := range cases {
		o := NewObserver(nil)
		o.Forbid("root", 9)
		o.check(reports(5, 3))
		o.check(c.then)
		if got := o.Violations(); len(got) != c.want {
			t.Errorf("%s: violations %v, want %d", c.name, got, c.want)
		}
	}
}
