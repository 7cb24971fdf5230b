package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The limits of the deployment, as in the settings of a small site.
const (
	drainMS        = 2000
	graceS         = 6
	stableWindowMS = 3000
	heartbeatMS    = 1500
	configApplyMS  = 2000
)

// bench is a deployment on loopback addresses with its store.
type bench struct {
	program string
	trouble bool
	record  *record
	folder  string
	prefix  string // the first three bytes of all addresses
	ports   [6]int
	store   *store
	nextIP  int
	nextID  int

	mu     sync.Mutex
	events []workerEvent
	// processes holds all that were started, those that have ended included.
	processes []*process
	clients   sync.WaitGroup
	running   sync.WaitGroup
	stop      chan struct{}
}

// The positions in bench.ports.
const (
	portCallers = iota
	portTraffic
	portReady
	portServer
	portControl
	portStore
)

func newBench(program, recordFile string, trouble bool) (*bench, error) {
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	b := &bench{program: program, trouble: trouble, record: r, folder: folder, nextIP: 10, stop: make(chan struct{})}
	b.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range b.ports {
		if b.ports[i], err = freePort(b.prefix + "1"); err != nil {
			return nil, err
		}
	}
	b.store, err = newStore(b.address(b.prefix+"1", portStore))
	return b, err
}

func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (b *bench) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(b.ports[port]))
}

// close ends all processes.
func (b *bench) close() {
	close(b.stop)
	b.clients.Wait()
	b.killAll()
	b.running.Wait()
	_ = b.store.server.Close()
	b.record.close()
	_ = os.RemoveAll(b.folder)
}

// killAll kills all processes that the case has started.
func (b *bench) killAll() {
	b.mu.Lock()
	processes := slices.Clone(b.processes)
	b.mu.Unlock()
	for _, p := range processes {
		p.kill(syscall.SIGKILL)
	}
}

// process is a process of the case.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

func (p *process) kill(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

func (b *bench) start(command *exec.Cmd) *process {
	if err := command.Start(); err != nil {
		panic(err)
	}
	p := &process{command: command, done: make(chan struct{})}
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		_ = command.Wait()
		close(p.done)
	}()
	return p
}

// machine is one machine with a backend server and its node.
type machine struct {
	name, ip, zone, service string
	slots                   int
	streams                 bool // a flag of the server
	server, node            *process
	serverID                string
	// born is when the server started, sequence counts its entries.
	born     time.Time
	sequence int
}

// newMachines returns machines that are not started, ordered by the hash of their
// control addresses. The order determines which nodes read the store.
func (b *bench) newMachines(count int, zone, service string) []*machine {
	var out []*machine
	for range count {
		b.nextIP++
		ip := b.prefix + strconv.Itoa(b.nextIP)
		out = append(out, &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, b.nextIP), ip: ip, zone: zone, service: service, slots: 6})
	}
	hash := func(m *machine) uint64 { return xxhash.Sum64String(b.address(m.ip, portControl)) }
	slices.SortFunc(out, func(x, y *machine) int {
		if hash(x) < hash(y) {
			return -1
		}
		return 1
	})
	return out
}

// startServer starts a new incarnation of a machine's backend server under a new ID.
func (b *bench) startServer(m *machine) {
	b.nextID++
	m.serverID = fmt.Sprintf("i-%08x", 0x5000+b.nextID*0x1357)
	m.born, m.sequence = time.Now(), 0
	self, err := os.Executable()
	if err != nil {
		panic(err)
	}
	command := exec.Command(self, "worker", "--address", b.address(m.ip, portServer), "--id", m.serverID,
		"--service", m.service, "--slots", strconv.Itoa(m.slots))
	if m.streams {
		command.Args = append(command.Args, "--streams")
	}
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		panic(err)
	}
	m.server = b.start(command)
	scanner := bufio.NewScanner(output)
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		for scanner.Scan() {
			var event workerEvent
			if json.Unmarshal(scanner.Bytes(), &event) == nil {
				b.addEvent(event)
			}
		}
	}()
	b.record.printf("server %s of %s starts beside %s", m.serverID, m.service, m.name)
	for range 100 {
		if connection, err := net.Dial("tcp", b.address(m.ip, portServer)); err == nil {
			_ = connection.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic("a backend server did not start")
}

func (b *bench) addEvent(event workerEvent) {
	b.mu.Lock()
	b.events = append(b.events, event)
	b.mu.Unlock()
	b.record.printf("server %s of %s: %s %s %s %s, %d bytes, status %d", event.Worker, event.Service, event.Kind,
		event.Attempt, event.Method, event.Path, event.Bytes, event.Status)
}

// eventsOf returns the events so far that a filter accepts.
func (b *bench) eventsOf(accept func(workerEvent) bool) []workerEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []workerEvent
	for _, event := range b.events {
		if accept(event) {
			out = append(out, event)
		}
	}
	return out
}

// register writes the entry of a machine's backend server to the store.
func (b *bench) register(m *machine, state string) {
	m.sequence++
	b.store.put("servers/"+m.serverID, map[string]any{
		"address":     b.address(m.ip, portServer),
		"born":        m.born.UnixMilli(),
		"server_info": map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": m.slots},
		"status":      map[string]any{"state": state, "sequence": m.sequence, "warmup_left_ms": 0},
	})
	b.record.printf("store acknowledges entry of server %s: %s", m.serverID, state)
}

func (b *bench) unregister(m *machine) time.Time {
	b.store.remove("servers/" + m.serverID)
	b.record.printf("store acknowledges that the entry of server %s is removed", m.serverID)
	return time.Now()
}

const settingsText = `node = %q
role = "node"
class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "region"
internal_ports = [%d, %d]
seeds = []
first_start = true
loss_counted = false
discovery = "platform"
entry = "local"
heartbeat_ms = %d
policies = ["base", "drain", "config", "cost", "retry", "recover", "platform"]
bounds = ["seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=%d", "ack_ms=4000", "sync_s=4", "drain_ms=%d", "grace_s=%d", "loss_slack_ms=200", "config_apply_ms=%d", "downgrade_slack_ms=250", "max_stretch_ms=5000", "budget_ratio=0.2", "budget_window_s=10", "budget_slack=64", "recovery_s=15"]
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
`

// startNode starts the node of a machine with the command of the deploy file.
func (b *bench) startNode(m *machine) {
	settings := filepath.Join(b.folder, m.name+".toml")
	text := fmt.Sprintf(settingsText, m.name, m.ip, m.zone, b.ports[portControl], b.ports[portControl], heartbeatMS,
		stableWindowMS, drainMS, graceS, configApplyMS, b.address(m.ip, portServer), m.service, b.address(m.ip, portTraffic),
		b.address(m.ip, portCallers), b.address(m.ip, portReady), b.address(b.prefix+"1", portStore))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	command := exec.Command(b.program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.folder, "GALENALEVER_NODE_FILE=" + settings}
	if log := os.Getenv("NODE_LOGS"); log != "" {
		file, err := os.OpenFile(filepath.Join(log, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		command.Stdout, command.Stderr = file, file
	}
	m.node = b.start(command)
	b.record.printf("node of %s in zone %s starts", m.name, m.zone)
}

// ready asks a node whether it takes requests.
func (b *bench) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + b.address(m.ip, portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts the machines: servers with their entries, then nodes. It returns when
// all nodes are ready and a stable window has passed.
func (b *bench) startAll(machines []*machine) {
	for _, m := range machines {
		b.startServer(m)
		b.register(m, "ready")
		b.startNode(m)
	}
	for _, m := range machines {
		b.awaitReady(m)
	}
	time.Sleep(stableWindowMS * time.Millisecond)
}

func (b *bench) awaitReady(m *machine) {
	for range 200 {
		if b.ready(m) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic("the node of " + m.name + " is not ready")
}

// route is a route of the operator's configuration.
type route struct {
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Type            string `json:"type"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
}

const (
	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"
)

// configure writes a version of the operator's configuration.
func (b *bench) configure(version int, routes map[string]route) {
	services := make(map[string]any)
	var lines []string
	for name, r := range routes {
		services[r.Service] = map[string]any{"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}
		lines = append(lines, fmt.Sprintf("%s: %s%s -> %s, %s, timeout %d ms", name, r.Host, r.Prefix, r.Service, r.Type, r.TimeoutMS))
	}
	b.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	slices.Sort(lines)
	b.record.printf("store acknowledges configuration %d: %s", version, strings.Join(lines, "; "))
}
