package gate_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/model"
	quarantineservice "github.com/galenalever/galenalever/internal/service/quarantine"
)

func (s *scenario) cmdEvacuate(d *datadriven.TestData, n *node) {
	var domain string
	d.ScanArgs(s.t, "domain", &domain)
	n.evacuate(s.t, model.FailureDomain(domain))
}

// evacuate publishes a configuration in which exactly one failure domain is evacuated and
// waits until the gate has applied it.
func (n *node) evacuate(t *testing.T, domain model.FailureDomain) {
	tree := *n.config.snapshot.Load().Tree
	tree.Evacuated = map[model.FailureDomain]*model.Evacuation{domain: {Domain: domain}}
	n.config.snapshot.Store(&model.Configuration{Tree: &tree})
	must(n.kernel.Loop().Post(t.Context(), control.ConfigurationChanged{}))
	waitFor(func() bool { return n.gate.Stats().Evacuated == (domain == "jkt") })
}

// hookedQuarantine calls beforeDecide, if it is set, before each decision.
type hookedQuarantine struct {
	*quarantineservice.Service
	node         *node
	beforeDecide func(*node)
}

func (h hookedQuarantine) Decide(f quarantine.Fingerprint) quarantine.Decision {
	if h.beforeDecide != nil {
		h.beforeDecide(h.node)
	}
	return h.Service.Decide(f)
}

// TestEvacuationDuringAdmission guards against a request that reaches the server after the
// begin of an evacuation because the gate had checked it just before.
func TestEvacuationDuringAdmission(t *testing.T) {
	s := newScenario(t)
	defer s.close()
	s.members.beforeDecide = func(n *node) { n.evacuate(t, "jkt") }
	n := startNode("a", s.clock, s.ledger, s.members, &model.Service{Name: serviceName, Slots: 2, Queue: 4})
	s.nodes["a"] = n
	s.checkRefusedOnce(t, n, model.ReasonEvacuated)
}
