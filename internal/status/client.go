package status

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// DefaultTimeout bounds one call to a node's operator port.
const DefaultTimeout = 3 * time.Second

// maxResponseBytes bounds the response that a tool accepts from a node.
const maxResponseBytes = 64 << 20

// Client reads the operator ports of nodes. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose calls fail after the timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout}}
}

// Close closes unused connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Report asks the node at an operator address for its status.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	err := c.get(ctx, address, PathStatus, &r)
	return r, err
}

// Members asks the node at an operator address for the instances it knows.
func (c *Client) Members(ctx context.Context, address string) ([]model.Member, error) {
	var members []model.Member
	err := c.get(ctx, address, PathMembers, &members)
	return members, err
}

// Timeline asks the node at an operator address for its events after a
// timestamp.
func (c *Client) Timeline(ctx context.Context, address string, after timeline.Timestamp) ([]timeline.Event, error) {
	var events []timeline.Event
	err := c.get(ctx, address, fmt.Sprintf("%s?after=%d", PathTimeline, after), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, address, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return eris.Wrapf(err, "operator address %q", address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(err, "reading the response of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered %s: %s", address, response.Status, strings.TrimSpace(string(body)))
	}
	return eris.Wrapf(json.Unmarshal(body, target), "decoding the response of %s", address)
}
