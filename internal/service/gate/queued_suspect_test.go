package gate_test

import (
	"testing"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/model"
)

// TestQueuedRequestBecomesSuspect guards against a request that runs here, beside others,
// although a server crashed beside an equal one while this one waited for its slot.
func TestQueuedRequestBecomesSuspect(t *testing.T) {
	s := newScenario(t)
	defer s.close()
	decisions := 0
	s.members.beforeDecide = func(n *node) {
		if decisions++; decisions == 2 { // the first one is that of the arrival
			n.suspects.HandleSuspects("c", []quarantine.Suspect{{
				Fingerprint: quarantine.Attributes{Method: "GET", Path: "/units"}.Fingerprint(),
				Crashes:     []quarantine.Crash{{Instance: "a", Time: 1}},
				Expires:     s.clock.Now().Add(quarantine.Duration),
			}})
		}
	}
	designated := model.Self{ID: "b", Service: serviceName, Domain: "jkt"}
	s.members.add(designated.Member(model.PresenceReady))
	n := startNode("a", s.clock, s.ledger, s.members, &model.Service{Name: serviceName, Slots: 2, Queue: 4})
	s.nodes["a"] = n
	s.checkRefusedOnce(t, n, model.ReasonSuspect)
}
