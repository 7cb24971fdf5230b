package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploadBytes is the size of an upload, uploadPiece what its client sends at once and
	// uploadGap the time between two pieces: 320 KB in about 0.2 s.
	uploadBytes = 320 << 10
	uploadPiece = 8 << 10
	uploadGap   = 5 * time.Millisecond
	// readBeforeAnswer is what a worker reads of an upload before it answers early.
	readBeforeAnswer = 32 << 10
	// earlyEvery and earlyTime are the dose: each third upload, for 6 s at most.
	earlyEvery = 3
	earlyTime  = 6 * time.Second
	// uploadRounds is how many uploads each client sends, one after the other.
	uploadRounds = 12
)

// fillBody fills a piece of an upload with numbers that tell their place. The offset and the
// length are multiples of 8.
func fillBody(p []byte, offset int) {
	for i := 0; i < len(p); i += 8 {
		binary.BigEndian.PutUint64(p[i:], uint64(offset+i)|0xabcd<<48)
	}
}

// bodyCheck compares what a worker reads of an upload with what the client sent.
type bodyCheck struct {
	offset int
	wrong  int // the first place with another byte; -1 if there is none
}

func (c *bodyCheck) add(p []byte) {
	var sent [8]byte
	for _, b := range p {
		fillBody(sent[:], c.offset&^7)
		if c.wrong < 0 && b != sent[c.offset&7] {
			c.wrong = c.offset
		}
		c.offset++
	}
}

// uploadServer answers a part of the uploads of one worker before it has read them.
type uploadServer struct {
	bench *bench
	// early is true if the worker answers each third upload early, since the time begun.
	early   bool
	begun   time.Time
	mu      sync.Mutex
	uploads int
	changed *atomic.Int64 // the uploads that reached a worker with other bytes
}

// answersEarly counts an upload and reports whether it is answered early.
func (u *uploadServer) answersEarly() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.uploads++
	if u.uploads == earlyEvery {
		u.begun = time.Now()
	}
	return u.early && u.uploads%earlyEvery == 0 && time.Since(u.begun) < earlyTime
}

// serve handles a request of the worker.
func (u *uploadServer) serve(w *worker, out http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get(headerTarget); target != "" && target != w.id {
		out.Header().Set(headerInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(headerID)
	out.Header().Set(headerID, id)
	out.Header().Set(headerSeal, seal(w, 0))
	if r.Method == http.MethodGet {
		return
	}
	_ = http.NewResponseController(out).EnableFullDuplex() // HTTP/1 supports it
	early, answered := u.answersEarly(), false
	check, buffer := bodyCheck{wrong: -1}, make([]byte, uploadPiece)
	var err error
	for err == nil {
		if early && !answered && check.offset >= readBeforeAnswer {
			answered = true
			u.bench.note("worker %s rejects %s after %d bytes and reads on", w.id, id, check.offset)
			out.Header().Set("Transfer-Encoding", "identity") // no length: the answer ends with the connection
			out.WriteHeader(http.StatusRequestEntityTooLarge)
			_, _ = io.WriteString(out, "too large\n") // the client sees a broken answer
			_ = http.NewResponseController(out).Flush()
		}
		var n int
		n, err = r.Body.Read(buffer)
		check.add(buffer[:n])
	}
	end := "with its last chunk"
	if !errors.Is(err, io.EOF) {
		end = "cut, " + err.Error()
	}
	u.bench.note("worker %s has read %d bytes of %s, which ends %s", w.id, check.offset, id, end)
	if check.wrong >= 0 {
		u.changed.Add(1)
		u.bench.note("worker %s got other bytes than were sent of %s, from byte %d on", w.id, id, check.wrong)
	}
	if !answered && errors.Is(err, io.EOF) {
		_, _ = io.WriteString(out, "stored\n")
	}
}

// upload sends an upload in chunks to the node of a machine.
func (b *bench) upload(m *machine, r route) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	b.note("client at %s sends upload %s, %d bytes in chunks", m.name, id, uploadBytes)
	status, err := sendUpload(m.outbound, r, id)
	if err != nil {
		b.note("client of %s: no answer: %v", id, err)
		return
	}
	b.note("client of %s gets %s", id, status)
}

// sendUpload returns the status of the answer and what came of its body.
func sendUpload(address string, r route, id string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return "", err
	}
	sent := make(chan error, 1)
	go func() { sent <- writeUpload(conn, r, id) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d, body %q, %v; sending ended with %v", response.StatusCode, body, err, <-sent), nil
}

func writeUpload(conn net.Conn, r route, id string) error {
	head := fmt.Sprintf("POST %spermit HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", r.prefix, r.host, headerID, id, headerDeadline)
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	piece := make([]byte, uploadPiece)
	for offset := 0; offset < uploadBytes; offset += uploadPiece {
		fillBody(piece, offset)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return err
		}
		time.Sleep(uploadGap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// earlyAnswer lets two of three workers reject a part of their uploads before they have read
// them. They read on, and see whether they get what the clients sent.
func earlyAnswer(b *bench) (bool, error) {
	permit := route{name: "r-permit", host: "permits.example", prefix: "/permits/", kind: "upload", service: "berkas", timeoutMS: 3000, objectiveMS: 1500, priority: 1}
	b.publish([]route{permit}, permit.service)
	var changed atomic.Int64
	for i := range 3 {
		m, err := b.addMachine(permit.service, []string{"jkt", "smg", "sby"}[i], workTime(100*time.Millisecond))
		if err != nil {
			return false, err
		}
		u := &uploadServer{bench: b, early: b.trouble && i < 2, changed: &changed}
		m.worker.serve = u.serve
	}
	if err := b.awaitServing(permit); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	for range uploadRounds {
		for _, m := range b.machines {
			b.upload(m, permit)
		}
	}
	time.Sleep(time.Second) // workers end reading
	text := fmt.Sprintf("workers got other bytes than were sent of %d uploads", changed.Load())
	b.note("%s", text)
	fmt.Println(text)
	return changed.Load() > 0, nil
}
