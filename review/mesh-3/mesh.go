package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of all machines of a mesh, relative to its first port.
const (
	portInbound = iota
	portOutbound
	portReady
	portApp
	portControl
	portStore
	portCount = portStore + 10
)

// node is one machine: a process of the system beside a worker.
type node struct {
	name, ip, zone, service string
	mesh                    *mesh
	worker                  *worker
	settings                string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// mesh is the store, the machines and what clients saw.
type mesh struct {
	dir, program string
	subnet       string
	port         int
	store        *store
	nodes        []*node
	runs         *runs

	mu      sync.Mutex
	answers []answer
	notes   []string
	begin   time.Time
	attempt atomic.Uint64
}

// newMesh returns a mesh with a store, on free ports of a loopback network.
func newMesh(dir, program string) (*mesh, error) {
	m := &mesh{dir: dir, program: program, runs: &runs{}, begin: time.Now()}
	for range 50 {
		m.subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(250))
		m.port = 20000 + rand.IntN(800)*10
		if free(m.subnet, m.port) {
			break
		}
	}
	m.store = newStore(3 * heartbeat)
	if _, err := m.store.serve(m.address(1, portStore)); err != nil {
		return nil, err
	}
	return m, nil
}

func free(subnet string, port int) bool {
	for i := range portCount {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, port+i))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (m *mesh) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", m.subnet, host, m.port+port)
}

func (m *mesh) notef(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notes = append(m.notes, fmt.Sprintf("%8.3f s  ", time.Since(m.begin).Seconds())+fmt.Sprintf(format, args...))
}

// add adds a machine with a worker of a service.
func (m *mesh) add(zone, service string, slots int, work func(*http.Request) time.Duration) (*node, error) {
	host := 10 + len(m.nodes)
	n := &node{
		name: fmt.Sprintf("sidecar-%s-%d", zone, host), ip: fmt.Sprintf("%s.%d", m.subnet, host),
		zone: zone, service: service, mesh: m,
	}
	n.worker = &worker{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, address: m.address(host, portApp),
		slots: slots, store: m.store, runs: m.runs, work: work,
	}
	if err := n.worker.start(); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(m.dir, n.name+".toml")
	if err := os.WriteFile(n.settings, []byte(m.settings(n)), 0o600); err != nil {
		return nil, err
	}
	m.nodes = append(m.nodes, n)
	return n, n.start()
}

func (m *mesh) settings(n *node) string {
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
[zones]
jkt = "jawa"
smg = "jawa"
sby = "jawa"
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
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, n.name, n.ip, n.zone, m.port+portControl, m.port+portControl, n.worker.address, n.service,
		n.at(portInbound), n.at(portOutbound), n.at(portReady), m.address(1, portStore))
}

// start starts the process of the system with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log == nil {
		log, err := os.Create(filepath.Join(n.mesh.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.log = log
	}
	n.command = exec.Command(n.mesh.program)
	n.command.Env = []string{"GALENALEVER_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	command, done := n.command, n.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command.Process != nil { // it did not start
		_ = n.command.Process.Signal(s)
	}
}

// await waits for the end of the process.
func (n *node) await() {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

// outbound returns the address for clients.
func (n *node) outbound() string { return n.at(portOutbound) }

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, n.mesh.port+port) }

// stop ends all processes.
func (m *mesh) stop() {
	for _, n := range m.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(os.Kill)
		n.await()
	}
}

// routeOf is a route of the operator's document.
type routeOf struct {
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// configure writes a version of the configuration and returns when it was acknowledged.
func (m *mesh) configure(version int, services []string, routes map[string]routeOf) time.Time {
	declared := map[string]any{}
	for _, s := range services {
		declared[s] = map[string]any{"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": declared,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return m.store.put("op/config", value, false)
}

// do makes one attempt on a new connection and records it.
func (m *mesh) do(n *node, q request) answer {
	attempt := m.newAttempt()
	conn, err := dial(n.outbound())
	if err != nil {
		a := answer{Attempt: attempt, Node: n.name, Method: q.method, URI: q.uri, Host: q.host, Sent: time.Now(), Ended: time.Now(), Err: err.Error()}
		m.record(a)
		return a
	}
	defer conn.Close()
	a := conn.send(attempt, n.name, q)
	m.record(a)
	return a
}

func (m *mesh) newAttempt() string {
	return fmt.Sprintf("%016x", m.attempt.Add(1)<<20|uint64(rand.Uint32N(1<<20)))
}

func (m *mesh) record(a answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers = append(m.answers, a)
}

// awaitServed waits until each node serves a request.
func (m *mesh) awaitServed(q request, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, n := range m.nodes {
		for m.do(n, q).Status != http.StatusOK {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// writeRecord writes what was sent, answered and run.
func (m *mesh) writeRecord(path string, findings []string) error {
	var out bytes.Buffer
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintln(&out, "what happened")
	for _, note := range m.notes {
		fmt.Fprintln(&out, " ", note)
	}
	fmt.Fprintln(&out, "findings")
	for _, f := range findings {
		fmt.Fprintln(&out, " ", f)
	}
	since := func(t time.Time) float64 { return t.Sub(m.begin).Seconds() }
	fmt.Fprintln(&out, "attempts of clients: sent, ended, attempt, node, request, answer")
	for _, a := range m.answers {
		fmt.Fprintf(&out, "  %8.3f %8.3f %s %s %s %s%s status=%d seal=%q answer-id=%q %s\n",
			since(a.Sent), since(a.Ended), a.Attempt, a.Node, a.Method, a.Host, a.URI, a.Status, a.Seal, a.AnswerID, a.Err)
	}
	fmt.Fprintln(&out, "runs at workers: begin, end, attempt, worker, service, caller's service, request, status")
	for _, r := range m.runs.all() {
		fmt.Fprintf(&out, "  %8.3f %8.3f %s %s %s %s %s %s status=%d dropped=%t\n",
			since(r.Begin), since(r.End), r.Attempt, r.Worker, r.Service, r.Caller, r.Method, r.URI, r.Status, r.Dropped)
	}
	return os.WriteFile(path, out.Bytes(), 0o600)
}
