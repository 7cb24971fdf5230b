package mesh_test

import (
	"slices"
	"testing"

	"github.com/galenalever/galenalever/internal/standin/mesh"
)

func TestScaledDeploymentKeepsItsProportions(t *testing.T) {
	egypt := mesh.Egypt()
	if same := egypt.Scaled(len(egypt.Instances())); !slices.Equal(same.Services, egypt.Services) {
		t.Errorf("services %v at the present size, want %v", same.Services, egypt.Services)
	}
	large := egypt.Scaled(4 * len(egypt.Instances()))
	for i, s := range large.Services {
		if want := 4 * egypt.Services[i].Instances; s.Instances != want {
			t.Errorf("%s has %d instances, want %d", s.Name, s.Instances, want)
		}
	}
}
