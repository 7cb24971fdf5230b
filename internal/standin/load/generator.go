package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/backend"
)

const (
	// callTimeout bounds one send of a request.
	callTimeout = 30 * time.Second
	// resendDelay is the time before a request is sent again.
	resendDelay = 100 * time.Millisecond
	// idleConnections is the maximum number of idle connections kept to a node.
	idleConnections = 64
)

// Config is the settings of a generator.
type Config struct {
	Workloads []Workload
	// Callers returns the addresses of the nodes' ports for callers.
	Callers func() []string
	// MaxSends is the maximum number of sends of a request; 0 means 1. A request
	// refused as not run is sent again to a random node, which may be the same.
	MaxSends int
	// ResendUnknown makes the generator also resend requests with an idempotency key
	// whose outcome is unknown.
	ResendUnknown bool
	// Prefix is the prefix of the request IDs, so that those of several generators
	// differ.
	Prefix string
	// Seed is the seed of the random choice of nodes.
	Seed uint64
}

// Generator sends requests at constant rates and records each. Records may be called
// during Run.
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

// Run sends requests until ctx ends, then waits for the responses to those in
// flight. The rate does not depend on the responses.
func (g *Generator) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, workload := range g.config.Workloads {
		running.Go(func() { g.runWorkload(ctx, workload, &running) })
	}
	running.Wait()
	g.client.CloseIdleConnections()
}

func (g *Generator) runWorkload(ctx context.Context, workload Workload, running *sync.WaitGroup) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / workload.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			running.Go(func() { g.runRequest(workload) })
		case <-ctx.Done():
			return
		}
	}
}

// Records returns a copy of the records of all requests that have ended.
func (g *Generator) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.records)
}

// runRequest sends one request, resends it while shouldResend returns true, up to
// MaxSends, and records it. It records nothing if there is no node to send to.
func (g *Generator) runRequest(workload Workload) {
	record := Record{ID: g.nextID(workload), Workload: workload}
	for len(record.Sends) < g.config.MaxSends {
		if len(record.Sends) > 0 {
			time.Sleep(resendDelay)
		}
		address, ok := g.pickAddress()
		if !ok {
			break
		}
		record.Sends = append(record.Sends, g.send(workload, record.ID, address))
		if !g.shouldResend(workload, record.Last().Result) {
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

func (g *Generator) shouldResend(workload Workload, last Result) bool {
	switch last {
	case ResultNotRun:
		return true
	case ResultUnknown, ResultCut:
		return workload.HasIdempotencyKey && g.config.ResendUnknown
	default:
		return false
	}
}

func (g *Generator) nextID(workload Workload) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	return fmt.Sprintf("%s-%s-%d", g.config.Prefix, workload.Name, g.next)
}

// pickAddress returns false if Config.Callers returns no address.
func (g *Generator) pickAddress() (string, bool) {
	addresses := g.config.Callers()
	if len(addresses) == 0 {
		return "", false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return addresses[g.random.IntN(len(addresses))], true
}

// send sends a request once.
func (g *Generator) send(workload Workload, id, address string) Send {
	s := Send{Address: address, At: time.Now()}
	requestBody := workload.body(id)
	s.Result, s.Detail, s.Status = g.exchange(workload, id, address, requestBody)
	s.Took = time.Since(s.At)
	return s
}

// exchange returns the result with its detail, and the status of the response or 0.
func (g *Generator) exchange(workload Workload, id, address string, requestBody []byte) (Result, string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := newRequest(ctx, workload, id, address, requestBody)
	if err != nil {
		return ResultCut, err.Error(), 0
	}
	var written atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}))
	response, err := g.client.Do(request)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && written.Load():
		// The HTTP client repeats a request without a body when a reused connection breaks.
		return ResultUnknown, "connection refused after the request was written on another one", 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return ResultNotRun, "connection refused", 0
	}
	if err != nil {
		return ResultCut, err.Error(), 0
	}
	defer response.Body.Close()
	result, detail := readResult(response, workload, id, requestBody)
	return result, detail, response.StatusCode
}

// readResult reads the body of a response and classifies it.
func readResult(response *http.Response, workload Workload, id string, requestBody []byte) (Result, string) {
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return ResultCut, "reading the response: " + err.Error()
	}
	return classify(response, responseBody, backend.Expected{
		LedgerID: id, Method: workload.Method, Path: workload.Path, Body: requestBody, Size: workload.ResponseBytes,
	})
}

func newRequest(ctx context.Context, workload Workload, id, address string, requestBody []byte) (*http.Request, error) {
	var reader io.Reader = http.NoBody
	switch {
	case len(requestBody) > 0 && workload.BodyTime > 0:
		reader = newSlowReader(requestBody, workload.BodyTime, ctx.Done())
	case len(requestBody) > 0:
		reader = bytes.NewReader(requestBody)
	}
	request, err := http.NewRequestWithContext(ctx, workload.Method, workload.target(address, id), reader)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // keeps the HTTP client from sending a request with a body again by itself
	request.ContentLength = int64(len(requestBody))
	if workload.Chunked {
		request.ContentLength = -1
	}
	request.Host = workload.Host
	request.Header.Set(backend.HeaderLedgerID, id)
	if workload.HasIdempotencyKey {
		request.Header.Set("Idempotency-Key", id)
	}
	if workload.Timeout > 0 {
		request.Header.Set(frontend.HeaderTimeout, strconv.FormatInt(workload.Timeout.Milliseconds(), 10))
	}
	return request, nil
}

// classify returns the result and its detail for a response that was read
// completely.
func classify(response *http.Response, responseBody []byte, expected backend.Expected) (Result, string) {
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
	if err := backend.Check(responseBody, expected); err != nil {
		return ResultWrong, err.Error()
	}
	return ResultAnswered, detail
}
