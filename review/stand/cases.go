package main

import (
	"net/http"
	"strings"
	"syscall"
	"time"
)

const host = "shop.example"

// drainCase checks DRAIN: no request reaches a server later than drain_ms after the
// store has acknowledged that it is gone. The disruption is that another machine of the
// zone was taken away before.
func drainCase(b *bench) bool {
	b.configure(7, map[string]route{
		"list": {Host: host, Prefix: "/list/", Type: idempotent, TimeoutMS: 1200, TargetLatencyMS: 400, Priority: 2, Service: "stock", MaxAttempts: 2},
	})
	zone, others := b.newMachines(3, "east", "stock"), b.newMachines(4, "west", "stock")
	taken, added := zone[0], zone[2]
	b.startAll(append(zone[:2:2], others...))
	// A machine is added. Its server registers with its first heartbeat.
	b.startServer(added)
	b.startNode(added)
	time.Sleep(heartbeatMS * time.Millisecond)
	b.register(added, "ready")
	b.awaitReady(added)
	time.Sleep(2 * stableWindowMS * time.Millisecond)
	if b.trouble {
		b.scaleIn(taken)
	} else {
		time.Sleep((drainMS + 500 + graceS*1000) * time.Millisecond)
	}
	time.Sleep(2 * stableWindowMS * time.Millisecond)
	var got answers
	until := make(chan struct{})
	for _, m := range append([]*machine{zone[1], added}, others...) {
		b.load(m, request{method: http.MethodGet, host: host, path: "/list/all", deadlineMS: 2500, workMS: 30}, 8, &got, nil, until)
	}
	time.Sleep(2 * time.Second)
	leaving := added.serverID
	gone := b.unregister(added) // the server does not report that it is draining, and goes on for a while
	time.Sleep(drainMS*time.Millisecond + 4*time.Second)
	close(until)
	time.Sleep(500 * time.Millisecond)
	late := b.eventsOf(func(e workerEvent) bool {
		return e.Worker == leaving && e.Kind == eventRun && e.UnixMS > gone.Add(drainMS*time.Millisecond).UnixMilli()
	})
	for _, e := range late {
		b.record.printf("DRAIN: request %s reached server %s %d ms after the store acknowledged that it is gone (bound %d ms)",
			e.Attempt, e.Worker, e.UnixMS-gone.UnixMilli(), drainMS)
	}
	b.record.printf("%d requests were answered with 200, %d reached the server that was gone too late",
		len(got.filter(func(x answer) bool { return x.status == http.StatusOK })), len(late))
	return len(late) > 0
}

// scaleIn empties a machine and takes it away: the server reports that it is draining,
// leaves, and its node is stopped after it.
func (b *bench) scaleIn(m *machine) {
	b.record.printf("%s is emptied and taken away", m.name)
	b.register(m, "draining")
	time.Sleep((drainMS + 500) * time.Millisecond)
	b.unregister(m)
	m.server.kill(syscall.SIGTERM)
	m.server.wait(time.Second)
	m.node.kill(syscall.SIGTERM)
	if !m.node.wait(graceS * time.Second) {
		m.node.kill(syscall.SIGKILL)
	}
	b.record.printf("%s is gone", m.name)
}

// deniedCase checks DENIED: proper requests are not answered with a 4xx of the nodes.
// The disruption is that two of 14 servers crash at the same moment and are back after
// some seconds.
func deniedCase(b *bench) bool {
	b.configure(7, map[string]route{
		"list": {Host: host, Prefix: "/list/", Type: idempotent, TimeoutMS: 1200, TargetLatencyMS: 800, Priority: 2, Service: "stock", MaxAttempts: 2},
		"book": {Host: host, Prefix: "/book/", Type: nonIdempotent, TimeoutMS: 1500, TargetLatencyMS: 800, Priority: 1, Service: "stock", MaxAttempts: 2},
	})
	var all []*machine
	all = append(all, b.newMachines(5, "east", "stock")...)
	all = append(all, b.newMachines(5, "west", "stock")...)
	all = append(all, b.newMachines(4, "south", "stock")...)
	for _, m := range all {
		m.slots = 10
	}
	b.startAll(all)
	var got answers
	until := make(chan struct{})
	for _, m := range all {
		b.load(m, request{method: http.MethodGet, host: host, path: "/list/all", deadlineMS: 2500, workMS: 250}, 12, &got, nil, until)
		b.load(m, request{method: http.MethodPost, host: host, path: "/book/new", body: `{"unit":"megaphone","day":"2026-12-05"}`, deadlineMS: 3000, workMS: 250}, 8, &got, nil, until)
	}
	time.Sleep(6 * time.Second)
	crash := time.Now()
	if b.trouble {
		crashed := []*machine{all[0], all[5]}
		for _, m := range crashed {
			b.record.printf("server %s crashes", m.serverID)
			m.server.kill(syscall.SIGKILL)
		}
		time.Sleep(3 * heartbeatMS * time.Millisecond)
		for _, m := range crashed {
			b.unregister(m)
			b.startServer(m)
			b.register(m, "ready")
		}
	}
	time.Sleep(20*time.Second - time.Since(crash))
	close(until)
	time.Sleep(3 * time.Second)
	total := len(got.filter(func(answer) bool { return true }))
	denied := got.filter(func(x answer) bool {
		return x.status >= 300 && x.status < 500 && !x.sealed &&
			x.status != http.StatusRequestTimeout && x.status != http.StatusMisdirectedRequest && x.status != http.StatusTooManyRequests
	})
	recovered := crash.Add((3*heartbeatMS + stableWindowMS) * time.Millisecond)
	later := got.filter(func(x answer) bool { return x.sent.After(recovered) })
	served := got.filter(func(x answer) bool { return x.sent.After(recovered) && x.status == http.StatusOK })
	bound := 5 + total/500
	b.record.printf("DENIED: %d of %d requests got a 3xx or 4xx of a node (bound %d)", len(denied), total, bound)
	b.record.printf("of %d requests sent later than %s after the crash, when all servers were back, %d got 200", len(later), recovered.Sub(crash), len(served))
	return len(denied) > bound
}

// lostCase checks LOST: around a planned stop no request that a node has read and passed
// on to a server ends without a complete answer. The disruption is the SIGTERM of the
// only node of a zone.
func lostCase(b *bench) bool {
	const timeoutMS, workMS = 4000, 2400
	b.configure(7, map[string]route{
		"quote": {Host: host, Prefix: "/quote/", Type: nonIdempotent, TimeoutMS: timeoutMS, TargetLatencyMS: 3000, Priority: 1, Service: "stock", MaxAttempts: 2},
	})
	stopped := b.newMachines(1, "east", "stock")[0]
	all := append([]*machine{stopped}, b.newMachines(6, "west", "stock")...)
	b.startAll(all)
	var got answers
	until := make(chan struct{})
	for _, m := range all {
		perSecond := 1.0
		if m == stopped {
			perSecond = 5
		}
		b.load(m, request{method: http.MethodPost, host: host, path: "/quote/new", body: `{"lot":1}`, deadlineMS: 5000, workMS: workMS}, perSecond, &got, nil, until)
	}
	time.Sleep(5 * time.Second)
	stop := time.Now()
	if b.trouble {
		b.record.printf("SIGTERM to the node of %s", stopped.name)
		stopped.node.kill(syscall.SIGTERM)
		if !stopped.node.wait(graceS * time.Second) {
			stopped.node.kill(syscall.SIGKILL)
		}
		b.record.printf("the node of %s has ended after %d ms", stopped.name, time.Since(stop).Milliseconds())
		b.startNode(stopped)
	}
	time.Sleep(9*time.Second - time.Since(stop))
	close(until)
	time.Sleep(5500 * time.Millisecond)
	passedOn := make(map[string]bool)
	for _, e := range b.eventsOf(func(e workerEvent) bool { return e.Kind == eventRun }) {
		passedOn[e.Attempt] = true
	}
	after, grace := 3*time.Second, graceS*time.Second
	lost := got.filter(func(x answer) bool {
		age, ended := x.sent.Sub(stop), x.ended.Sub(stop)
		if x.machine != stopped || x.status != 0 || !passedOn[x.attempt] || age < 0 || age > grace+time.Second {
			return false
		}
		if x.ended.Sub(x.sent) >= timeoutMS*time.Millisecond {
			return false // the timeout of the route was reached
		}
		atWork := ended >= grace*5/6 && ended <= grace
		return age > after || !atWork
	})
	for _, x := range lost {
		b.record.printf("LOST: request %s, sent %d ms after the SIGTERM, was passed on to a server, and its connection ended without an answer %d ms after the SIGTERM: %v",
			x.attempt, x.sent.Sub(stop).Milliseconds(), x.ended.Sub(stop).Milliseconds(), x.err)
	}
	b.record.printf("%d requests were lost", len(lost))
	return len(lost) > 0
}

// routeCase checks ROUTE: the service that runs a request is the one of the route with
// the longest prefix that begins the path. The disruption is a configuration that adds a
// route for paths below the one that clients use.
func routeCase(b *bench) bool {
	routes := map[string]route{
		"shop": {Host: host, Prefix: "/", Type: idempotent, TimeoutMS: 1200, TargetLatencyMS: 400, Priority: 2, Service: "stock", MaxAttempts: 2},
		"book": {Host: "book.example", Prefix: "/", Type: idempotent, TimeoutMS: 1200, TargetLatencyMS: 400, Priority: 2, Service: "booking", MaxAttempts: 2},
	}
	b.configure(7, routes)
	all := append(b.newMachines(2, "east", "stock"), b.newMachines(2, "west", "booking")...)
	b.startAll(all)
	var got answers
	until := make(chan struct{})
	for _, m := range all {
		b.load(m, request{method: http.MethodGet, host: host, path: "/orders", deadlineMS: 2500, workMS: 20}, 5, &got, nil, until)
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		routes["orders"] = route{Host: host, Prefix: "/orders/", Type: idempotent, TimeoutMS: 1200, TargetLatencyMS: 400, Priority: 2, Service: "booking", MaxAttempts: 2}
		b.configure(12, routes)
	}
	time.Sleep(6 * time.Second)
	close(until)
	time.Sleep(time.Second)
	wrong := b.eventsOf(func(e workerEvent) bool { return e.Kind == eventRun && e.Service == "booking" })
	foreign := got.filter(func(x answer) bool { return x.status == http.StatusOK && strings.Contains(x.body, " of booking ran ") })
	b.record.printf("ROUTE: %d requests for /orders were run by booking, to which no configuration ever sent them; %d clients got its answer", len(wrong), len(foreign))
	return len(wrong) > 0
}
