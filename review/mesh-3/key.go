package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// orders is the number of bookings of the first shop, and burstOrders that of the second
	// one: together 1.7 times the usual traffic, the dose of burst.
	orders, burstOrders = 10, 7
	orderInterval       = 300 * time.Millisecond
	// calmPause separates the bookings of the two shops if there is no burst.
	calmPause = 12 * time.Second
)

// sharedKey lets two shops place bookings, which carry the number of the order at the shop in
// the header Idempotency-Key. In a burst the second shop books at the same time as the first
// one, at another node.
func sharedKey(m *mesh, trouble bool) ([]string, error) {
	if err := m.start("jkt", "jkt", "smg", "smg"); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // until the nodes have been in touch for long
	var group sync.WaitGroup
	group.Go(func() { m.book("first", m.nodes[0], orders) })
	if !trouble {
		group.Wait()
		time.Sleep(calmPause)
	}
	time.Sleep(orderInterval / 2)
	m.book("second", m.nodes[2], burstOrders)
	group.Wait()
	return m.foreignAnswers(), nil
}

// book sends the bookings of a shop. All of them have their own attempt IDs, and equal
// contents.
func (m *mesh) book(shop string, n *node, count int) {
	for order := range count {
		a := m.do(n, request{
			method: http.MethodPost, uri: postRoute.Prefix + "book", host: postRoute.Host, deadline: 3 * time.Second,
			header: map[string]string{"Idempotency-Key": fmt.Sprint(order + 1)}, body: []byte(`{"unit":"megaphone","hours":4}`),
		})
		m.notef("%s shop, order %d, attempt %s: status %d, answer to attempt %s", shop, order+1, a.Attempt, a.Status, a.AnswerID)
		time.Sleep(orderInterval)
	}
}

// foreignAnswers returns the successes that belong to another request.
func (m *mesh) foreignAnswers() []string {
	ran := make(map[string]bool)
	for _, r := range m.runs.all() {
		ran[r.Attempt] = true
	}
	var findings []string
	for _, a := range m.answers {
		if a.Status/100 == 2 && !a.OwnAnswer {
			findings = append(findings, fmt.Sprintf("MIXED: attempt %s gets %d with the answer to attempt %s; its own request ran: %t",
				a.Attempt, a.Status, a.AnswerID, ran[a.Attempt]))
		}
	}
	return findings
}
