package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// drainTime is the bound drain_ms.
const drainTime = 2 * time.Second

// removalInStorm takes a quarter of the workers away, whose entries are removed without a
// report that they leave, while versions of the configuration follow each other closely.
func removalInStorm(b *bench) (bool, error) {
	lookup := route{name: "r-lookup", host: "units.example", prefix: "/units/", kind: "idempotent", service: "katalog", timeoutMS: 2500, objectiveMS: 400, priority: 2}
	book := route{name: "r-book", host: "book.example", prefix: "/bookings/", kind: "non_idempotent", service: "pemesanan", timeoutMS: 3000, objectiveMS: 500, priority: 1}
	routes, services := []route{lookup, book}, []string{"katalog", "pemesanan"}
	b.publish(routes, services...)
	for i := range 12 {
		if _, err := b.addMachine(services[i%2], []string{"jkt", "smg", "sby"}[i/2%3], workTime(100*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := b.awaitServing(lookup, book); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	var group sync.WaitGroup
	leaving := []*machine{b.machines[1], b.machines[3], b.machines[5]}
	for _, m := range b.machines {
		if slices.Contains(leaving, m) {
			continue
		}
		c := b.client(m)
		load(&group, 6, 12*time.Second, func() {
			c.send(http.MethodGet, lookup.host, fmt.Sprintf("/units/%d", rand.IntN(1e6)), "", 2500*time.Millisecond, time.Hour)
		})
		load(&group, 6, 12*time.Second, func() {
			c.send(http.MethodPost, book.host, "/bookings/new", "unit=7", 3*time.Second, time.Hour)
		})
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		group.Go(func() {
			for i := range 31 { // 5 s
				changed := lookup
				changed.timeoutMS -= 1 + i%7
				b.publish([]route{changed, book}, services...)
				time.Sleep(160 * time.Millisecond)
			}
		})
		time.Sleep(time.Second)
	}
	acknowledged := make(map[string]time.Time)
	for _, m := range leaving {
		m.worker.withdraw()
		acknowledged[m.worker.id] = time.Now()
		b.note("entry of worker %s removed and acknowledged", m.worker.id)
	}
	time.Sleep(drainTime + time.Second)
	for _, m := range leaving {
		b.note("worker %s exits, then its node gets SIGTERM", m.worker.id)
		m.worker.exit()
		_ = m.process.Process.Signal(syscall.SIGTERM) // has ended otherwise
	}
	group.Wait()
	b.summary()
	return b.arrivedLate(acknowledged), nil
}

// removalWhileCut removes the entry of one worker that does not report that it leaves, while
// the store cuts each watch that has waited for a while.
func removalWhileCut(b *bench) (bool, error) {
	book := route{name: "r-book", host: "book.example", prefix: "/bookings/", kind: "non_idempotent", service: "pemesanan", timeoutMS: 3000, objectiveMS: 500, priority: 1}
	b.publish([]route{book}, "pemesanan")
	for i := range 6 {
		if _, err := b.addMachine("pemesanan", []string{"jkt", "smg", "sby"}[i%3], workTime(100*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := b.awaitServing(book); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	var group sync.WaitGroup
	leaver := b.machines[0]
	for _, m := range b.machines[1:] {
		c := b.client(m)
		load(&group, 10, 12*time.Second, func() {
			c.send(http.MethodPost, book.host, "/bookings/new", "unit=7", 3*time.Second, time.Hour)
		})
	}
	if b.trouble {
		b.store.cutWatches(300 * time.Millisecond)
		b.note("from now on, watches that have waited for 300 ms are cut")
	}
	time.Sleep(5 * time.Second)
	leaver.worker.withdraw()
	acknowledged := map[string]time.Time{leaver.worker.id: time.Now()}
	b.note("entry of worker %s removed and acknowledged", leaver.worker.id)
	time.Sleep(drainTime + time.Second)
	b.note("worker %s exits, then its node gets SIGTERM", leaver.worker.id)
	leaver.worker.exit()
	_ = leaver.process.Process.Signal(syscall.SIGTERM) // has ended otherwise
	group.Wait()
	b.summary()
	return b.arrivedLate(acknowledged), nil
}

// crashingRequest repeats a request that crashes each worker that begins to run it. Its path
// is one that callers of another service ask for, too, whose requests do no harm.
func crashingRequest(b *bench) (bool, error) {
	const (
		path         = "/units/4711"
		stableWindow = 3 * time.Second
		allowed      = 3
		length       = 36 * time.Second
		repeats      = 30
		deadline     = 2500 * time.Millisecond
	)
	lookup := route{name: "r-lookup", host: "units.example", prefix: "/units/", kind: "idempotent", service: "katalog", timeoutMS: 2500, objectiveMS: 400, priority: 2}
	hold := route{name: "r-hold", host: "hold.example", prefix: "/holds/", kind: "non_idempotent", service: "katalog", timeoutMS: 2500, objectiveMS: 400, priority: 1}
	services := []string{"katalog", "pemesanan"}
	b.publish([]route{lookup, hold}, services...)
	for i := range 8 {
		m, err := b.addMachine(services[i%2], []string{"jkt", "smg"}[i/2%2], workTime(100*time.Millisecond))
		if err != nil {
			return false, err
		}
		m.worker.crashes = func(r *http.Request) bool {
			return r.URL.Path == path && r.Header.Get(headerCaller) == "katalog"
		}
	}
	if err := b.awaitServing(lookup, hold); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed []string // the IDs of the holds that got no success
	for i, m := range b.machines {
		c := b.client(m)
		load(&group, 8, length, func() {
			c.send(http.MethodGet, lookup.host, fmt.Sprintf("/units/%d", 10000+rand.IntN(1e6)), "", deadline, time.Hour)
		})
		load(&group, 3, length, func() {
			if a := c.send(http.MethodPost, hold.host, "/holds/new", "unit=7", deadline, time.Hour); a.status != http.StatusOK {
				mu.Lock()
				failed = append(failed, a.id)
				mu.Unlock()
			}
		})
		if services[i%2] == "pemesanan" {
			load(&group, 2, length, func() { c.send(http.MethodGet, lookup.host, path, "", deadline, time.Hour) })
		}
	}
	time.Sleep(3 * time.Second)
	for i := range repeats {
		if !b.trouble {
			break
		}
		c := b.client(b.machines[i%4*2])
		group.Go(func() {
			a := c.send(http.MethodGet, lookup.host, path, "", deadline, time.Hour)
			b.note("the request that crashes workers, %s, gets %d", a.id, a.status)
		})
		time.Sleep(time.Second)
	}
	group.Wait()
	b.summary()
	b.mu.Lock()
	var crashes []time.Time
	late, lost := 0, 0
	for _, s := range b.runs {
		if slices.Contains(failed, s.id) {
			lost++
		}
		if s.path != path || s.by != "katalog" {
			continue
		}
		if len(crashes) >= 3 && s.at.Sub(crashes[2]) > stableWindow {
			late++
		}
		crashes = append(crashes, s.at)
	}
	b.mu.Unlock()
	text := fmt.Sprintf("the request crashed workers %d times; it reached workers %d times more than %s after the third crash, %d are allowed; %d other requests that may run once at most were begun and lost", len(crashes), late, stableWindow, allowed, lost)
	b.note("%s", text)
	fmt.Println(text)
	return late > allowed, nil
}

// queueBehindLeaver lets workers of one service turn slow one after the other, each of which
// then reports that it leaves while requests wait at the node beside it.
func queueBehindLeaver(b *bench) (bool, error) {
	const (
		deadline = 5 * time.Second
		slowness = 12 // times as long
		slowFor  = 9 * time.Second
	)
	bid := route{name: "r-bid", host: "bids.example", prefix: "/bids/", kind: "non_idempotent", service: "bidding", timeoutMS: 5000, objectiveMS: 800, priority: 1}
	services := []string{"bidding", "catalogue", "inspection"}
	zones := []string{"cairo-a", "cairo-b", "giza", "alex"}
	b.publish([]route{bid}, services...)
	speeds := []float64{0.7, 0.7, 1.6, 0.7} // workers differ in speed
	slowUntil := make([]atomic.Int64, len(speeds))
	for i := range 14 {
		service, usual := services[0], 250*time.Millisecond
		switch {
		case i >= 10:
			service = services[2]
		case i >= len(speeds):
			service = services[1]
		default:
			usual = time.Duration(float64(usual) / speeds[i])
		}
		_, err := b.addMachine(service, zones[i%4], func(*http.Request) time.Duration {
			spread := 0.9 + 0.2*rand.Float64()
			if i < len(slowUntil) && time.Now().UnixNano() < slowUntil[i].Load() {
				spread *= slowness
			}
			return time.Duration(spread * float64(usual))
		})
		if err != nil {
			return false, err
		}
	}
	if err := b.awaitServing(bid); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	acknowledged := make(map[string]time.Time)
	for round, i := range []int{0, 1, 3} {
		var group sync.WaitGroup
		for _, m := range b.machines[len(speeds):] {
			c := b.client(m)
			load(&group, 32.0/10*1.7, 9*time.Second, func() {
				c.send(http.MethodPost, bid.host, "/bids/new", "lot=7", deadline, time.Hour)
			})
		}
		time.Sleep(3 * time.Second)
		m := b.machines[i]
		if b.trouble {
			slowUntil[i].Store(time.Now().Add(slowFor).UnixNano())
			b.note("worker %s turns slow", m.worker.id)
		}
		time.Sleep(time.Second)
		m.worker.drain()
		acknowledged[m.worker.id] = time.Now()
		b.note("worker %s reports that it leaves, acknowledged", m.worker.id)
		group.Wait()
		b.note("worker %s exits, then its node gets SIGTERM", m.worker.id)
		m.worker.exit()
		m.worker.withdraw()
		_ = m.process.Process.Signal(syscall.SIGTERM) // has ended otherwise
		if round == 2 {
			break
		}
		if _, err := b.addMachine(services[0], zones[i], workTime(357*time.Millisecond)); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second) // the new machine is in touch
	}
	b.summary()
	return b.arrivedLate(acknowledged), nil
}

// arrivedLate reports whether a request reached a worker later than drainTime after the
// acknowledgement that it leaves.
func (b *bench) arrivedLate(acknowledged map[string]time.Time) bool {
	late, latest := 0, time.Duration(0)
	b.mu.Lock()
	for _, s := range b.arrivals {
		if at, ok := acknowledged[s.worker]; ok && s.at.Sub(at) > 0 {
			latest = max(latest, s.at.Sub(at))
			if s.at.Sub(at) > drainTime {
				late++
			}
		}
	}
	b.mu.Unlock()
	text := fmt.Sprintf("%d requests reached a leaving worker more than %s after the acknowledgement; the last one of all after %s", late, drainTime, latest.Round(time.Millisecond))
	b.note("%s", text)
	fmt.Println(text)
	return late > 0
}
