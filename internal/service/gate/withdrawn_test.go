package gate_test

import (
	"context"
	"testing"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
)

// withdraw lists the node's server as leaving and waits until the node has applied it.
func (n *node) withdraw(l *memberList, name string) {
	l.mu.Lock()
	var changed []model.Member
	for i := range l.list {
		if string(l.list[i].ID) == name {
			l.list[i].Listed = model.ListingLeaving
			changed = append(changed, l.list[i])
		}
	}
	l.mu.Unlock()
	barrier := loopBarrier{done: make(chan struct{})}
	must(n.kernel.Loop().Post(context.Background(), control.MembersChanged{Changed: changed}))
	must(n.kernel.Loop().Post(context.Background(), barrier))
	<-barrier.done
}

// TestWithdrawalDuringAdmission guards against a request that reaches a leaving server because
// the gate had checked it just before the platform's listing changed.
func TestWithdrawalDuringAdmission(t *testing.T) {
	s := newScenario(t)
	defer s.close()
	s.members.beforeDecide = func(n *node) { n.withdraw(s.members, "a") }
	n := startNode("a", s.clock, s.ledger, s.members, &model.Service{Name: serviceName, Slots: 2, Queue: 4})
	s.nodes["a"] = n
	s.checkRefusedOnce(t, n, model.ReasonLeaving)
}
