package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// startTimeout bounds the time until a node logs its addresses.
	startTimeout = 15 * time.Second
	// maxLogLines is the number of latest log lines kept for each process.
	maxLogLines = 200
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Addresses are a node's listen addresses, as it logs them once it has started. Message
// is the message of that log line.
type Addresses struct {
	Message  string `json:"msg"`
	Callers  string `json:"callers"`
	Traffic  string `json:"traffic"`
	Control  string `json:"control"`
	Operator string `json:"operator"`
}

// startedMessage is the message of the log line with the addresses.
const startedMessage = "node started"

// process is a running process of a node.
type process struct {
	command   *exec.Cmd
	listening chan Addresses // receives the logged addresses
	exited    chan struct{}  // closed when the process has ended
	err       error          // valid once exited is closed

	mu    sync.Mutex
	lines []string
}

// startProcess starts a program and waits until it logs its addresses. If env is nil,
// the process inherits the environment of this one.
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
		return nil, Addresses{}, eris.Wrap(err, "opening the output of a node")
	}
	if err := p.command.Start(); err != nil {
		return nil, Addresses{}, eris.Wrap(err, "starting a node")
	}
	go p.readOutput(output)
	addresses, err := p.awaitListening(ctx)
	if err != nil {
		p.signal(syscall.SIGKILL)
		<-p.exited
		return nil, Addresses{}, err
	}
	return p, addresses, nil
}

// readOutput reads the process's output until it ends and then waits for the process.
func (p *process) readOutput(output io.Reader) {
	defer close(p.exited)
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		p.handleLine(scanner.Text())
	}
	_, _ = io.Copy(io.Discard, output) // the rest after a line longer than maxLineBytes
	p.err = p.command.Wait()
}

// handleLine keeps a log line and passes on the addresses if it contains them.
func (p *process) handleLine(line string) {
	p.mu.Lock()
	p.lines = append(p.lines, line)
	if len(p.lines) > maxLogLines {
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

// awaitListening waits until the process has logged its addresses.
func (p *process) awaitListening(ctx context.Context) (Addresses, error) {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case a := <-p.listening:
		return a, nil
	case <-p.exited:
		return Addresses{}, eris.Errorf("the node ended before it logged its addresses: %v\n%s", p.err, p.lastLine())
	case <-timer.C:
		return Addresses{}, eris.Errorf("the node did not log its addresses within %s", startTimeout)
	case <-ctx.Done():
		return Addresses{}, ctx.Err()
	}
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s) // fails only if the process has just ended
	}
}

// terminate sends the process SIGTERM, and SIGCONT in case it is paused, and waits for
// its end. If it takes longer than the limit, it is killed. The error says that it was
// killed or that it exited with a status other than 0.
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

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// logLines returns the last log lines, at most maxLogLines.
func (p *process) logLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lines)
}

// errorsSince returns the last log lines that are errors and were logged after a time.
func (p *process) errorsSince(begin time.Time) []string {
	return slices.DeleteFunc(p.logLines(), func(line string) bool {
		var entry struct {
			Time  time.Time  `json:"time"`
			Level slog.Level `json:"level"`
		}
		return json.Unmarshal([]byte(line), &entry) != nil || entry.Level < slog.LevelError || entry.Time.Before(begin)
	})
}

// lastLine returns "" if there is none.
func (p *process) lastLine() string {
	lines := p.logLines()
	if len(lines) == 0 {
		return ""
	}
	return lines[len(lines)-1]
}
