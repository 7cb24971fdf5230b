package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every machine. Machines differ in their loopback address.
const (
	portWorker   = 8628
	portInbound  = 8624
	portOutbound = 8629
	portReady    = 8625
	portControl  = 7600
	portStore    = 8627
)

// settingsText is the settings file of a machine, with the bounds of the small deployment.
const settingsText = `node = %q
role = "node"
class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "jawa"
internal_ports = [7600,7615]
seeds = []
first_start = true
loss_counted = false
discovery = "platform"
entry = "local"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","retry","recover","platform"]
bounds = ["seed_lag_s=3","addr_reuse_s=2","stable_window_ms=3000","ack_ms=4000","sync_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","downgrade_slack_ms=250","max_stretch_ms=5000","budget_ratio=0.2","budget_window_s=10","budget_slack=64","recovery_s=15"]
app_addr = "%[2]s:8628"
service = %[4]q

[zones]
jkt = "jawa"
smg = "jawa"
sby = "jawa"

[listen]
inbound = "%[2]s:8624"
outbound = "%[2]s:8629"
ready = "%[2]s:8625"

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
address = "%[5]s"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// site is a small deployment on loopback addresses: a store, workers and nodes.
type site struct {
	dir      string
	program  string
	prefix   string // of the loopback addresses
	store    *store
	machines []*machine
	record   *record
}

// machine is a worker and the node beside it.
type machine struct {
	site    *site
	name    string
	ip      string
	zone    string
	service string
	id      string
	born    int64

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	seq     int
	state   string // empty: not listed
}

// newSite returns a site whose loopback addresses no other process uses.
func newSite(program, dir string, r *record) (*site, error) {
	s := &site{dir: dir, program: program, store: newStore(), record: r}
	for n := 0; n < 200; n++ {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+n)%200, 1+n)
		l, err := net.Listen("tcp", s.storeAddress())
		if err != nil {
			continue
		}
		server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
		return s, nil
	}
	return nil, fmt.Errorf("no free loopback address for the store")
}

func (s *site) storeAddress() string { return fmt.Sprintf("%s1:%d", s.prefix, portStore) }

// add adds a machine in one of the three zones.
func (s *site) add(service string) *machine {
	n := len(s.machines)
	m := &machine{
		site: s, name: fmt.Sprintf("sidecar-%d", n+1), ip: fmt.Sprintf("%s%d", s.prefix, 10+n),
		zone: []string{"jkt", "smg", "sby"}[n%3], service: service, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), born: time.Now().UnixMilli(),
	}
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.site.dir, m.name+".toml")
	text := fmt.Sprintf(settingsText, m.name, m.ip, m.zone, m.service, m.site.storeAddress())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(m.site.program)
	command.Env = []string{"GALENALEVER_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	m.site.record.add("started node %s, process %d", m.name, command.Process.Pid)
	return nil
}

// stopAll kills all nodes that still run.
func (s *site) stopAll() {
	for _, m := range s.machines {
		m.mu.Lock()
		command, exited := m.command, m.exited
		m.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Kill()
		<-exited
	}
}

// list writes the worker's entry; an empty state removes it.
func (m *machine) list(state string) {
	m.mu.Lock()
	m.seq++
	m.state = state
	seq := m.seq
	m.mu.Unlock()
	if state == "" {
		m.site.store.remove("servers/" + m.id)
		return
	}
	m.site.store.put("servers/"+m.id, map[string]any{
		"address":     m.address(portWorker),
		"born":        m.born,
		"server_info": map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": 6},
		"status":      map[string]any{"state": state, "sequence": seq, "warmup_left_ms": 0},
	})
}

// beat renews the entries of all workers every heartbeat until the context ends.
func (s *site) beat(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
		for _, m := range s.machines {
			m.mu.Lock()
			state := m.state
			m.mu.Unlock()
			if state != "" {
				m.list(state)
			}
		}
	}
}

// awaitReady waits until all nodes answer 200 to the platform's question.
func (s *site) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for _, m := range s.machines {
		for {
			response, err := client.Get("http://" + m.address(portReady) + "/readyz")
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// signal signals the node's process.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(sig)
	}
	m.site.record.add("sent %s to node %s", sig, m.name)
}
