package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/backend"
)

const (
	// callTimeout bounds one send.
	callTimeout = 30 * time.Second
	// resendDelay is the time before a request is sent again.
	resendDelay = 100 * time.Millisecond
	// idleConnections is the number of unused connections kept to a node.
	idleConnections = 64
)

// Config is the settings of a generator.
type Config struct {
	Workloads []Workload
	// Callers returns the callers' addresses to choose from.
	Callers func() []string
	// MaxSends is the largest number of sends of a request; those refused as not
	// run are sent again to another node.
	MaxSends int
	// ResendUnknown also sends again requests with an idempotency key whose
	// outcome the caller does not know.
	ResendUnknown bool
	// Prefix makes the IDs of this generator unique.
	Prefix string
	Seed   uint64
}

// Generator sends requests at a steady rate and remembers each.
type Generator struct {
	config Config
	client *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	next    int
	records []Record
}

// NewGenerator returns a generator that sends nothing yet.
func NewGenerator(c Config) *Generator {
	c.MaxSends = max(c.MaxSends, 1)
	return &Generator{
		config: c,
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections},
			Timeout:   callTimeout,
		},
	}
}

// Run sends requests until the context ends, then waits for the answers of
// those under way. The rate does not depend on the answers.
func (g *Generator) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, shape := range g.config.Workloads {
		running.Go(func() { g.runShape(ctx, shape, &running) })
	}
	running.Wait()
	g.client.CloseIdleConnections()
}

func (g *Generator) runShape(ctx context.Context, shape Workload, running *sync.WaitGroup) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / shape.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			running.Go(func() { g.request(shape) })
		case <-ctx.Done():
			return
		}
	}
}

// Records returns a copy of all requests that have ended.
func (g *Generator) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.records)
}

// request sends one request, again if it was not run, and records it.
func (g *Generator) request(shape Workload) {
	record := Record{ID: g.nextID(shape), Workload: shape}
	for len(record.Sends) < g.config.MaxSends {
		if len(record.Sends) > 0 {
			time.Sleep(resendDelay)
		}
		address, ok := g.pick()
		if !ok {
			break
		}
		record.Sends = append(record.Sends, g.send(shape, record.ID, address))
		if !g.resends(shape, record.Last().Result) {
			break
		}
	}
	if len(record.Sends) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, record)
}

// resends tells whether a caller sends a request again after a result.
func (g *Generator) resends(shape Workload, last Result) bool {
	switch last {
	case ResultNotRun:
		return true
	case ResultUnknown, ResultCut:
		return shape.HasIdempotencyKey && g.config.ResendUnknown
	default:
		return false
	}
}

func (g *Generator) nextID(shape Workload) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	return fmt.Sprintf("%s-%s-%d", g.config.Prefix, shape.Name, g.next)
}

// pick chooses a callers' address.
func (g *Generator) pick() (string, bool) {
	addresses := g.config.Callers()
	if len(addresses) == 0 {
		return "", false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return addresses[g.random.IntN(len(addresses))], true
}

// send sends a request once.
func (g *Generator) send(shape Workload, id, address string) Send {
	s := Send{Address: address, At: time.Now()}
	body := shape.body(id)
	s.Result, s.Detail = g.exchange(shape, id, address, body)
	s.Took = time.Since(s.At)
	return s
}

func (g *Generator) exchange(shape Workload, id, address string, body []byte) (Result, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := newRequest(ctx, shape, id, address, body)
	if err != nil {
		return ResultCut, err.Error()
	}
	response, err := g.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ResultNotRun, "connection refused"
	}
	if err != nil {
		return ResultCut, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return ResultCut, "in the answer: " + err.Error()
	}
	return classify(response, answer, backend.Expected{
		LedgerID: id, Method: shape.Method, Path: shape.Path, Body: body, Size: shape.ResponseBytes,
	})
}

func newRequest(ctx context.Context, shape Workload, id, address string, body []byte) (*http.Request, error) {
	var content io.Reader = http.NoBody
	switch {
	case len(body) > 0 && shape.BodyTime > 0:
		content = newSlowReader(body, shape.BodyTime, ctx.Done())
	case len(body) > 0:
		content = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, shape.Method, shape.target(address, id), content)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // the client must not send a request again by itself
	request.ContentLength = int64(len(body))
	request.Host = shape.Host
	request.Header.Set(backend.HeaderLedgerID, id)
	if shape.HasIdempotencyKey {
		request.Header.Set("Idempotency-Key", id)
	}
	return request, nil
}

// classify tells what a complete answer means.
func classify(response *http.Response, answer []byte, expected backend.Expected) (Result, string) {
	outcome := response.Header.Get(hop.HeaderOutcome)
	detail := response.Status + " " + response.Header.Get(hop.HeaderReason)
	switch {
	case outcome == model.OutcomeNotRun.String():
		return ResultNotRun, detail
	case outcome == model.OutcomeUnknown.String():
		return ResultUnknown, detail
	case response.StatusCode != http.StatusOK:
		return ResultFailed, detail
	}
	if err := backend.Check(answer, expected); err != nil {
		return ResultWrong, err.Error()
	}
	return ResultAnswered, detail
}
