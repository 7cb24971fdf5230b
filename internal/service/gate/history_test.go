package gate_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of random histories, and fails if a
// goroutine leaks.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// exec runs one scenario command.
func (s *scenario) exec(format string, args ...any) string {
	d := &datadriven.TestData{}
	for i, field := range strings.Fields(fmt.Sprintf(format, args...)) {
		name, value, hasValue := strings.Cut(field, "=")
		switch {
		case i == 0:
			d.Cmd = name
		case hasValue:
			d.CmdArgs = append(d.CmdArgs, datadriven.CmdArg{Key: name, Vals: []string{value}})
		default:
			d.CmdArgs = append(d.CmdArgs, datadriven.CmdArg{Key: name})
		}
	}
	result := s.run(s.t, d)
	s.log = append(s.log, fmt.Sprintf(format, args...)+" -> "+strings.TrimSpace(result))
	return result
}

// history is a random sequence of non-idempotent requests, each sent several times
// to any server, while servers start, drain and crash and one instance fails
// without notice.
type history struct {
	*scenario
	up    []string
	down  map[string]bool // servers that crashed while their node runs
	next  int             // number of the next node
	lost  bool            // whether an instance has failed without notice
	sends int
	// mayHaveRun holds the keys with at least one outcome other than not-run.
	mayHaveRun map[string]bool
}

func (h *history) start() {
	name := fmt.Sprint("n", h.next)
	h.next++
	h.exec("start %s", name)
	h.up = append(h.up, name)
}

func (h *history) remove(i int) {
	h.exec("remove-member node=%s", h.up[i])
	h.up = append(h.up[:i:i], h.up[i+1:]...)
}

func (h *history) send(t *rapid.T, node string) {
	h.sends++
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	path := rapid.SampledFrom([]string{"/ok", "/ok", "/drop"}).Draw(t, "path")
	result := h.exec("send node=%s method=POST key=%s-%s id=r%d path=%s", node, key, path[1:], h.sends, path)
	if !strings.HasPrefix(result, "not-run") {
		h.mayHaveRun[key+"-"+path[1:]] = true
	}
}

func (h *history) step(t *rapid.T) {
	i := rapid.IntRange(0, len(h.up)-1).Draw(t, "node")
	node := h.up[i]
	switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
	case event == 0 && len(h.up) < 5:
		h.start()
	case event == 1 && len(h.up) > 2:
		h.exec("stop node=%s", node)
		h.exec("stopped node=%s", node)
		h.remove(i)
	case event == 2 && len(h.up) > 2 && !h.lost:
		h.lost = true
		h.exec("fail-instance node=%s", node)
		h.remove(i)
	case event == 3 && !h.down[node]:
		h.down[node] = true
		h.exec("crash node=%s", node)
	case event == 4 && h.down[node]:
		h.down[node] = false
		h.exec("restart node=%s", node)
	default:
		h.send(t, node)
	}
}

// TestNonIdempotentRequestsRunAtMostOnce checks at the backend servers that no
// request ran twice, and that none ran whose attempts were all refused as not run.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := &history{scenario: newScenario(t), down: map[string]bool{}, mayHaveRun: map[string]bool{}}
		defer h.close()
		h.start()
		h.start()
		h.start()
		for range rapid.IntRange(5, 25).Draw(r, "steps") {
			h.step(r)
		}
		runs := make(map[string]int)
		for run, n := range h.ledger.runs {
			key, _, _ := strings.Cut(run, " ")
			runs[key] += n
		}
		for key, n := range runs {
			if n > 1 || !h.mayHaveRun[key] {
				r.Fatalf("%s ran %d times, keys with an outcome other than not-run: %v\n%s", key, n, h.mayHaveRun[key], strings.Join(h.log, "\n"))
			}
		}
	})
}
