package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// startTimeout bounds the time until a node tells its addresses.
	startTimeout = 15 * time.Second
	// keptLines is the number of log lines kept of each process.
	keptLines = 200
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
)

// Addresses are the listeners of a node as it logs them.
type Addresses struct {
	Message  string `json:"msg"`
	Callers  string `json:"callers"`
	Traffic  string `json:"traffic"`
	Control  string `json:"control"`
	Operator string `json:"operator"`
}

// startedMessage is the log message that carries the addresses.
const startedMessage = "node started"

// process is one run of a node.
type process struct {
	command   *exec.Cmd
	listening chan Addresses
	exited    chan struct{}
	err       error // valid once exited is closed

	mu    sync.Mutex
	lines []string
}

// startProcess runs a program and waits until it tells its addresses.
func startProcess(ctx context.Context, program string, args, env []string) (*process, Addresses, error) {
	p := &process{
		command:   exec.Command(program, args...),
		listening: make(chan Addresses, 1),
		exited:    make(chan struct{}),
	}
	p.command.Env = env
	output, err := p.command.StdoutPipe()
	p.command.Stderr = p.command.Stdout
	if err != nil {
		return nil, Addresses{}, eris.Wrap(err, "output of the node")
	}
	if err := p.command.Start(); err != nil {
		return nil, Addresses{}, eris.Wrap(err, "starting a node")
	}
	go p.run(output)
	addresses, err := p.awaitListening(ctx)
	if err != nil {
		p.signal(syscall.SIGKILL)
		<-p.exited
		return nil, Addresses{}, err
	}
	return p, addresses, nil
}

// run reads the log until the process ends.
func (p *process) run(output io.Reader) {
	defer close(p.exited)
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		p.handleLine(scanner.Text())
	}
	_, _ = io.Copy(io.Discard, output) // a line was too long
	p.err = p.command.Wait()
}

func (p *process) handleLine(line string) {
	p.mu.Lock()
	p.lines = append(p.lines, line)
	if len(p.lines) > keptLines {
		p.lines = slices.Delete(p.lines, 0, 1)
	}
	p.mu.Unlock()
	var a Addresses
	if json.Unmarshal([]byte(line), &a) == nil && a.Message == startedMessage && a.Callers != "" {
		select {
		case p.listening <- a:
		default:
		}
	}
}

func (p *process) awaitListening(ctx context.Context) (Addresses, error) {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case a := <-p.listening:
		return a, nil
	case <-p.exited:
		return Addresses{}, eris.Errorf("the node ended at its start: %v\n%s", p.err, p.lastLine())
	case <-timer.C:
		return Addresses{}, eris.Errorf("the node did not tell its addresses within %s", startTimeout)
	case <-ctx.Done():
		return Addresses{}, ctx.Err()
	}
}

// signal sends a signal unless the process ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s) // it may end at this moment
	}
}

// terminate asks the process to end and waits for it. It is killed if it takes
// longer than the limit.
func (p *process) terminate(limit time.Duration) error {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.exited:
		return p.err
	case <-timer.C:
		p.kill()
		return eris.Errorf("the process did not end within %s", limit)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// log returns the last lines of the log.
func (p *process) log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lines)
}

func (p *process) lastLine() string {
	lines := p.log()
	if len(lines) == 0 {
		return ""
	}
	return lines[len(lines)-1]
}
