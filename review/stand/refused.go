package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// refusedCase checks REFUSED: a request that is answered with a status that promises
// that it has not run was not run. The disruption is a configuration that shortens the
// timeout of a route.
func refusedCase(b *bench) bool {
	routes := map[string]route{
		"upload": {Host: host, Prefix: "/upload/", Type: "upload", TimeoutMS: 6000, TargetLatencyMS: 5000, Priority: 1, Service: "files", MaxAttempts: 2},
	}
	b.configure(7, routes)
	all := append(b.newMachines(2, "east", "files"), b.newMachines(2, "west", "files")...)
	for _, m := range all {
		m.streams = true
	}
	b.startAll(all)
	if b.trouble {
		r := routes["upload"]
		r.TimeoutMS = 1500
		routes["upload"] = r
		b.configure(12, routes)
	}
	time.Sleep(configApplyMS * time.Millisecond)
	var got answers
	for range 6 {
		for _, m := range all {
			b.clients.Add(1)
			go func() {
				defer b.clients.Done()
				got.add(b.slowUpload(m))
			}()
		}
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	ran := make(map[string]string)
	for _, e := range b.eventsOf(func(e workerEvent) bool { return e.Kind == eventRun }) {
		ran[e.Attempt] = e.Worker
	}
	broken := got.filter(func(x answer) bool {
		switch x.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return ran[x.attempt] != ""
		}
		return false
	})
	for _, x := range broken {
		b.record.printf("REFUSED: request %s was answered with %d, but server %s had begun to run it", x.attempt, x.status, ran[x.attempt])
	}
	b.record.printf("REFUSED: %d of %d uploads", len(broken), len(got.filter(func(answer) bool { return true })))
	return len(broken) > 0
}

// slowUpload sends an upload of 300 KB in chunks, at 100 KB/s.
func (b *bench) slowUpload(m *machine) answer {
	const piece, pieces, pause, workMS = 5000, 60, 50 * time.Millisecond, 2000
	x := answer{attempt: fmt.Sprintf("%08x%08x", attemptPrefix, lastAttempt.Add(1)), machine: m, sent: time.Now()}
	conn, err := net.Dial("tcp", b.address(m.ip, portCallers))
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	b.record.printf("client of %s sends %s POST /upload/plan, %d bytes in chunks", m.name, x.attempt, piece*pieces)
	go func() {
		fmt.Fprintf(conn, "POST /upload/plan HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			host, headerAttempt, x.attempt, headerDeadline, headerWork, workMS)
		for range pieces {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", piece, strings.Repeat("x", piece)); err != nil {
				return
			}
			time.Sleep(pause)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	}()
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	x.ended, x.err = time.Now(), err
	if err != nil {
		b.record.printf("client of %s gets no answer to %s after %d ms: %v", m.name, x.attempt, x.ended.Sub(x.sent).Milliseconds(), err)
		return x
	}
	x.status = response.StatusCode
	_ = response.Body.Close()
	b.record.printf("client of %s gets %d to %s after %d ms", m.name, x.status, x.attempt, x.ended.Sub(x.sent).Milliseconds())
	return x
}
