package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workerPort is the place of the port of workers among those of a machine, which are the same
// on all machines.
const workerPort = 5

// seen is what a worker saw of a request.
type seen struct {
	at                   time.Time
	worker, id, path, by string
}

// bench holds the processes and stand-ins of a case, and what they have seen.
type bench struct {
	node    string
	trouble bool
	// folder holds settings and logs; logs is a folder that keeps the latter, or empty.
	folder, logs string
	store        *store
	// octet makes the loopback addresses of this run differ from those of others.
	octet int
	ports []int
	start time.Time

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	arrivals []seen
	runs     []seen
	answers  map[string]int
	version  int
}

// machine is a machine with a worker and the process of a node.
type machine struct {
	name, zone, host string
	worker           *worker
	outbound         string
	process          *exec.Cmd
	ended            chan struct{}
}

func newBench(node, record string, trouble bool) (*bench, error) {
	program, err := filepath.Abs(node)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bench{
		node: program, trouble: trouble, folder: folder, record: file, octet: 1 + os.Getpid()%250,
		start: time.Now(), answers: make(map[string]int),
	}
	if b.store, err = newStore(b.host(250)); err != nil {
		return nil, err
	}
	b.ports, err = freePorts(b.host(1), workerPort+1)
	return b, err
}

// host returns the loopback address of a machine.
func (b *bench) host(number int) string { return fmt.Sprintf("127.%d.7.%d", b.octet, number) }

func freePorts(host string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// note writes a line of the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%6d ms %s\n", time.Since(b.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (b *bench) close() {
	for _, m := range b.machines {
		if m.process != nil {
			_ = m.process.Process.Kill() // has ended otherwise
			<-m.ended
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Close()
	_ = os.RemoveAll(b.folder)
}

// addMachine adds a machine whose worker is of a service, and starts its node.
func (b *bench) addMachine(service, zone string, work func(*http.Request) time.Duration) (*machine, error) {
	number := len(b.machines) + 1
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, host: b.host(number)}
	var err error
	if m.worker, err = newWorker(b, m.host, service, zone, work); err != nil {
		return nil, err
	}
	m.outbound = net.JoinHostPort(m.host, strconv.Itoa(b.ports[0]))
	b.machines = append(b.machines, m)
	return m, b.startNode(m)
}

// startNode starts the process of a node, as the deploy file says.
func (b *bench) startNode(m *machine) error {
	path := filepath.Join(b.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(b.settings(m)), 0o600); err != nil {
		return err
	}
	logs := b.logs
	if logs == "" {
		logs = b.folder
	}
	output, err := os.OpenFile(filepath.Join(logs, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process := exec.Command(b.node)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.folder, "GALENALEVER_NODE_FILE=" + path}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	m.process, m.ended = process, make(chan struct{})
	go func() {
		defer close(m.ended)
		_ = process.Wait() // a killed process has no exit code
	}()
	b.note("node %s started, process %d", m.name, process.Process.Pid)
	return nil
}

func (b *bench) settings(m *machine) string {
	at := func(i int) string { return net.JoinHostPort(m.host, strconv.Itoa(b.ports[i])) }
	return fmt.Sprintf(`node = %q
role = "node"
class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "jawa"
internal_ports = [%d,%d]
seeds = []
first_start = true
loss_counted = false
discovery = "platform"
entry = "local"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","retry","recover","platform"]
bounds = ["seed_lag_s=3","addr_reuse_s=2","stable_window_ms=3000","ack_ms=4000","sync_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","downgrade_slack_ms=250","max_stretch_ms=5000","budget_ratio=0.2","budget_window_s=10","budget_slack=64","recovery_s=15"]
app_addr = %q
service = %q
[listen]
inbound = %q
outbound = %q
ready = %q
[limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, m.name, m.host, m.zone, b.ports[3], b.ports[4], m.worker.address, m.worker.service, at(1), at(0), at(2), b.store.address)
}

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS, objectiveMS, priority  int
}

// publish writes the next version of the configuration.
func (b *bench) publish(routes []route, services ...string) {
	b.mu.Lock()
	b.version += 1 + rand.IntN(3)
	version := b.version
	b.mu.Unlock()
	routeTable, serviceTable := map[string]any{}, map[string]any{}
	for _, r := range routes {
		routeTable[r.name] = map[string]any{
			"host": r.host, "prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": r.objectiveMS,
			"priority": r.priority, "max_attempts": 2, "service": r.service,
		}
	}
	for _, name := range services {
		serviceTable[name] = map[string]any{"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}
	}
	b.store.put("op/config", map[string]any{
		"version": version, "routes": routeTable, "services": serviceTable,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	b.note("configuration %d acknowledged", version)
}

func (b *bench) sawArrival(w *worker, id string, r *http.Request) {
	b.mu.Lock()
	b.arrivals = append(b.arrivals, seen{time.Now(), w.id, id, r.URL.Path, r.Header.Get(headerCaller)})
	b.mu.Unlock()
	b.note("worker %s gets %s %s %s from %s", w.id, id, r.Method, r.URL.Path, r.Header.Get(headerCaller))
}

func (b *bench) sawRun(w *worker, id string, r *http.Request) {
	b.mu.Lock()
	b.runs = append(b.runs, seen{time.Now(), w.id, id, r.URL.Path, r.Header.Get(headerCaller)})
	b.mu.Unlock()
	b.note("worker %s runs %s", w.id, id)
}

func (b *bench) sawBreak(w *worker, id string) {
	b.note("worker %s drops %s, its connection was closed", w.id, id)
}

// client sends requests to the node of its machine.
type client struct {
	bench   *bench
	machine *machine
	http    *http.Client
}

func (b *bench) client(m *machine) *client {
	return &client{bench: b, machine: m, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// answer is what a client got; status 0 means that the connection ended or that the client
// has left.
type answer struct {
	id     string
	status int
	seal   bool
	body   string
}

// send makes one attempt. The client leaves after patience.
func (c *client) send(method, host, path, body string, deadline, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), min(deadline, patience))
	defer cancel()
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.outbound+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set(headerID, a.id)
	request.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	c.bench.note("client at %s sends %s %s %s%s", c.machine.name, a.id, method, host, path)
	response, err := c.http.Do(request)
	if err == nil {
		defer response.Body.Close()
		text, readErr := io.ReadAll(response.Body)
		if readErr == nil {
			a.status, a.seal, a.body = response.StatusCode, response.Header.Get(headerSeal) != "", string(text)
		}
		err = readErr
	}
	if err != nil {
		c.bench.note("client of %s: no answer: %v", a.id, err)
	} else {
		c.bench.note("client of %s gets %d, seal %t", a.id, a.status, a.seal)
	}
	c.bench.mu.Lock()
	c.bench.answers[strconv.Itoa(a.status)]++
	c.bench.mu.Unlock()
	return a
}

// awaitServing waits until each node answers a request of each route with success.
func (b *bench) awaitServing(routes ...route) error {
	end := time.Now().Add(20 * time.Second)
	for _, m := range b.machines {
		c := b.client(m)
		for _, r := range routes {
			for c.send(http.MethodGet, r.host, r.prefix+"first", "", time.Second, time.Second).status != http.StatusOK {
				if time.Now().After(end) {
					return fmt.Errorf("node %s does not serve %s", m.name, r.prefix)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// load calls send at random times, rate times a second on average, for a time.
func load(group *sync.WaitGroup, rate float64, length time.Duration, send func()) {
	group.Go(func() {
		var calls sync.WaitGroup
		for end := time.Now().Add(length); time.Now().Before(end); {
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			calls.Go(send)
		}
		calls.Wait()
	})
}

// workTime returns a function that draws work times around a mean, between half and twice.
func workTime(mean time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration {
		return time.Duration((0.5 + rand.Float64()) * float64(mean))
	}
}

func (b *bench) summary() {
	b.mu.Lock()
	answers := fmt.Sprint(b.answers)
	b.mu.Unlock()
	b.note("answers by status: %s", answers)
}
