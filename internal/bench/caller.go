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

// result tells what a caller saw.
type result uint8

const (
	resultFailed result = iota
	resultAnswered
	resultNotRun
	resultUnknown
)

const (
	// callTimeout bounds one call.
	callTimeout = 60 * time.Second
	// idleConnections is the number of unused connections kept to a node.
	idleConnections = 1000
)

// caller sends requests to addresses in turn.
type caller struct {
	client    *http.Client
	addresses []string
	run       time.Duration
	path      string
	method    string
}

func newCaller(addresses []string, method, path string, run time.Duration) *caller {
	return &caller{
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxIdleConns: 0},
			Timeout:   callTimeout,
		},
		addresses: addresses,
		run:       run,
		path:      path,
		method:    method,
	}
}

// send sends the i-th request and reads the whole answer.
func (c *caller) send(ctx context.Context, i int) result {
	url := "http://" + c.addresses[i%len(c.addresses)] + c.path
	if c.run > 0 {
		url += "?" + backend.ParamRun + "=" + c.run.String()
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

// close drops the idle connections.
func (c *caller) close() { c.client.CloseIdleConnections() }
