package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Case "early": a worker answers part of the uploads before it has read their bodies, with
// an answer that ends with the connection, and reads the rest of the body before it closes.

const (
	uploadPrefix = "/unggah/"
	uploadHost   = "izin.example"
	// uploadBytes is the size of a body, uploadPiece of what the client sends at once, and
	// uploadGap the time between two pieces: 320 KB in about 0.2 s.
	uploadBytes = 320 << 10
	uploadPiece = 8 << 10
	uploadGap   = 5 * time.Millisecond
	// readBeforeAnswer is what the worker reads of a body before it answers early.
	readBeforeAnswer = 32 << 10
	// earlyEvery and earlyFor are the dose: every third upload, for at most 6 s.
	earlyEvery = 3
	earlyFor   = 6 * time.Second
)

// fillBody fills a piece of a body whose bytes tell their place: 8 bytes for each place of 8.
func fillBody(p []byte, offset int) {
	for i := 0; i+8 <= len(p); i += 8 {
		binary.BigEndian.PutUint64(p[i:], uint64(offset+i)|0xabcd<<48)
	}
}

// bodyCheck compares a body with what the client sent.
type bodyCheck struct {
	offset int
	wrong  int // the first place with another byte, -1 if there is none
}

func (c *bodyCheck) add(p []byte) {
	for _, b := range p {
		var want [8]byte
		fillBody(want[:], c.offset&^7)
		if c.wrong < 0 && b != want[c.offset&7] {
			c.wrong = c.offset
		}
		c.offset++
	}
}

// earlyWorker is a worker that answers a share of its uploads early.
type earlyWorker struct {
	machine *machine
	// early is true if the worker answers a part of its uploads early.
	early bool

	mu         sync.Mutex
	uploads    int
	broken     int
	earlySince time.Time
}

// answersEarly counts an upload and reports whether the worker answers it early.
func (w *earlyWorker) answersEarly() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.uploads++
	if !w.early || w.uploads%earlyEvery != 0 {
		return false
	}
	if w.earlySince.IsZero() {
		w.earlySince = time.Now()
	}
	return time.Since(w.earlySince) < earlyFor
}

func (w *earlyWorker) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveConn(conn)
	}
}

func (w *earlyWorker) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nGalenalever-Instance-Id: %s\r\nGalenalever-Server-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n", w.machine.id)
			continue
		}
		if target := r.Header.Get("Galenalever-Target-Instance"); target != "" && target != w.machine.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		if !w.serveUpload(conn, r) {
			return
		}
	}
}

// serveUpload reports whether the connection may carry another request.
func (w *earlyWorker) serveUpload(conn net.Conn, r *http.Request) bool {
	early := w.answersEarly()
	id, record := r.Header.Get("Galenalever-Attempt-Id"), w.machine.site.record
	check := bodyCheck{wrong: -1}
	head := "Galenalever-Attempt-Id: " + id + "\r\nGalenalever-Response-Seal: s." + id + "\r\n"
	buffer := make([]byte, uploadPiece)
	answered := false
	for {
		if early && !answered && check.offset >= readBeforeAnswer {
			answered = true
			record.add("worker %s rejects upload %s after %d bytes, and reads on", w.machine.id, id, check.offset)
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\n"+head+"\r\ntoo large\n")
		}
		n, err := r.Body.Read(buffer)
		check.add(buffer[:n])
		if err == nil {
			continue
		}
		end := "whole"
		if !errors.Is(err, io.EOF) {
			end = "cut: " + err.Error()
		}
		place := "none"
		if check.wrong >= 0 {
			place = fmt.Sprintf("at byte %d", check.wrong)
			w.mu.Lock()
			w.broken++
			w.mu.Unlock()
		}
		record.add("worker %s read %d bytes of upload %s, end %s; other bytes than sent: %s; early %t", w.machine.id, check.offset, id, end, place, early)
		if answered || end != "whole" {
			return false
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 7\r\n\r\nstored\n", head)
		return true
	}
}

// upload sends one chunked upload and returns the answer's status, or an error.
func upload(address, id string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	head := "POST " + uploadPrefix + "berkas HTTP/1.1\r\nHost: " + uploadHost + "\r\nGalenalever-Attempt-Id: " + id +
		"\r\nGalenalever-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
	sent := make(chan error, 1)
	go func() {
		if _, err := io.WriteString(conn, head); err != nil {
			sent <- err
			return
		}
		piece := make([]byte, uploadPiece)
		for offset := 0; offset < uploadBytes; offset += uploadPiece {
			fillBody(piece, offset)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				sent <- err
				return
			}
			time.Sleep(uploadGap)
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		sent <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	status := fmt.Sprintf("%s, %q, body error %v", response.Status, strings.TrimSpace(string(body)), err)
	return status + fmt.Sprintf(", send error %v", <-sent), nil
}

// runEarly reports whether the rule held.
func runEarly(ctx context.Context, s *site, trouble bool) (bool, error) {
	var workers []*earlyWorker
	for n := range 3 {
		m := s.add("berkas")
		w := &earlyWorker{machine: m, early: trouble && n < 2}
		l, err := net.Listen("tcp", m.address(portWorker))
		if err != nil {
			return false, err
		}
		go w.serve(l)
		workers = append(workers, w)
	}
	s.putConfig(map[string]any{
		"r-unggah": map[string]any{
			"host": uploadHost, "prefix": uploadPrefix, "type": "upload", "timeout_ms": 3000, "target_latency_ms": 1500,
			"priority": 1, "service": "berkas", "max_attempts": 2,
		},
	}, "berkas")
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	for n := range 36 {
		id, m := fmt.Sprintf("%016x", 0x1c41d07b00000000+n), s.machines[n%3]
		s.record.add("client at %s sends upload %s, %d bytes in chunks", m.name, id, uploadBytes)
		status, err := upload(m.address(portOutbound), id)
		s.record.add("client at %s: upload %s: %s, error %v", m.name, id, status, err)
	}
	time.Sleep(time.Second)
	broken := 0
	for _, w := range workers {
		w.mu.Lock()
		broken += w.broken
		w.mu.Unlock()
	}
	s.record.add("uploads of which a worker got other bytes than were sent: %d", broken)
	return broken == 0, nil
}
