package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/backend"
)

// result is the outcome of a request as its caller sees it.
type result uint8

const (
	resultFailed result = iota
	resultAnswered
	resultNotRun
	resultUnknown
)

const (
	// callTimeout is the time limit of one call.
	callTimeout = 60 * time.Second
	// idleConnections is the maximum number of idle connections kept to a node.
	idleConnections = 1000
)

// caller sends requests to addresses in turn.
type caller struct {
	client    *http.Client
	addresses []string
	// runTime is the run time at the server; 0 means the server's default.
	runTime time.Duration
	path    string
	method  string
}

func newCaller(addresses []string, method, path string, runTime time.Duration) *caller {
	return &caller{
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxIdleConns: 0},
			Timeout:   callTimeout,
		},
		addresses: addresses,
		runTime:   runTime,
		path:      path,
		method:    method,
	}
}

// send sends request i and reads the whole response.
func (c *caller) send(ctx context.Context, i int) result {
	url := "http://" + c.addresses[i%len(c.addresses)] + c.path
	if c.runTime > 0 {
		url += "?" + backend.ParamRun + "=" + c.runTime.String()
	}
	request, err := http.NewRequestWithContext(ctx, c.method, url, http.NoBody)
	if err != nil {
		return resultFailed
	}
	request.Host = host
	request.Header.Set(backend.HeaderLedgerID, fmt.Sprintf("%s-%d", c.path, i))
	response, err := c.client.Do(request)
	if err != nil {
		return resultFailed
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return resultFailed
	}
	return classify(response)
}

func classify(response *http.Response) result {
	if response.StatusCode == http.StatusOK {
		return resultAnswered
	}
	switch model.ParseOutcome(response.Header.Get(hop.HeaderOutcome)) {
	case model.OutcomeNotRun:
		return resultNotRun
	case model.OutcomeUnknown:
		return resultUnknown
	default:
		return resultFailed
	}
}

// close closes the idle connections.
func (c *caller) close() { c.client.CloseIdleConnections() }
