package model_test

import (
	"testing"

	"github.com/galenalever/galenalever/internal/model"
)

// TestRevisionsAreOrderedByEraFirst guards against revisions that go back when a platform
// gives its counter out again, and against parts that overlap.
func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	last := model.Revision(0)
	for _, test := range []struct {
		era, counter uint64
		text         string
	}{
		{0, 7, "7"},
		{0, model.MaxCounter, "1099511627775"},
		{1, 3, "1:3"},
		{1, 4, "1:4"},
		{2, 0, "2:0"},
		{model.MaxEra, model.MaxCounter, "16777215:1099511627775"},
	} {
		r, err := model.NewRevision(test.era, test.counter)
		if err != nil || r <= last || r.Era() != test.era || r.Counter() != test.counter || r.String() != test.text {
			t.Errorf("era %d, counter %d: %s after %s, %v", test.era, test.counter, r, last, err)
		}
		last = r
	}
	for _, parts := range [][2]uint64{{model.MaxEra + 1, 1}, {1, model.MaxCounter + 1}} {
		if r, err := model.NewRevision(parts[0], parts[1]); err == nil {
			t.Errorf("era %d, counter %d is accepted as %s", parts[0], parts[1], r)
		}
	}
}
