package ingress_test

import (
	"context"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
)

// TestCallsOfTheOwnServerAreTakenUntilItHasDrained checks that a node that stops
// takes requests for as long as its own server runs work, which makes calls.
func TestCallsOfTheOwnServerAreTakenUntilItHasDrained(t *testing.T) {
	m := newMesh(t)
	m.gate.drained = make(chan struct{})
	m.start(0)
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(context.Background()) }()
	for range 3 {
		response, err := m.client.Get(m.url + "/nowhere")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		time.Sleep(10 * time.Millisecond) // gives a wrong end the time to happen
	}
	close(m.gate.drained)
	if err := <-m.stopped; err != nil {
		t.Error(err)
	}
	if _, err := m.client.Get(m.url + "/nowhere"); err == nil {
		t.Error("a call is taken after the end")
	}
}

// TestCallersCloseTheirConnectionsWhileTheNodeLeaves checks that a node which has
// to leave asks its callers to close their connections, while it still answers.
func TestCallersCloseTheirConnectionsWhileTheNodeLeaves(t *testing.T) {
	m := newMesh(t)
	m.start(0)
	for _, leaving := range []bool{false, true} {
		if leaving {
			m.post(control.PresenceChanged{Presence: model.PresenceLeaving})
		}
		response, err := m.client.Get(m.url + "/nowhere")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.Close != leaving {
			t.Errorf("leaving %t: the connection closes %t", leaving, response.Close)
		}
	}
}
