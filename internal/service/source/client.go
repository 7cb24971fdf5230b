package source

import (
	"context"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
)

// callTimeout is the timeout of [Caller.Get] for all calls.
const callTimeout = 5 * time.Second

// Client implements Platform for a platform that offers this project's HTTP API: the
// paths /v1/keys, /v1/values/KEY and /v1/instances.
type Client struct{ caller *Caller }

// NewClient returns a client for the platform at a URL.
func NewClient(base string) *Client { return &Client{caller: NewCaller(base)} }

// Observe sets a function that is called after each call.
func (c *Client) Observe(observer func(Call)) { c.caller.Observe(observer) }

type keyList struct {
	Revision uint64 `json:"revision"`
	Keys     []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
		Deleted  bool   `json:"deleted"`
	} `json:"keys"`
}

type value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

type instanceList struct {
	Revision  uint64     `json:"revision"`
	Instances []instance `json:"instances"`
}

type instance struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Traffic  string `json:"traffic"`
	Control  string `json:"control"`
	Operator string `json:"operator"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	// WarmupLeftMS is how many milliseconds the server stays cold.
	WarmupLeftMS float64 `json:"warmup_left_ms"`
}

// Keys implements Platform.
func (c *Client) Keys(ctx context.Context, after model.Revision, wait time.Duration) (KeyListing, error) {
	var list keyList
	if _, err := c.caller.Get(ctx, "/v1/keys", watchQuery(after, wait), wait, callTimeout, &list); err != nil {
		return KeyListing{}, err
	}
	out := KeyListing{Revision: model.Revision(list.Revision)}
	for _, k := range list.Keys {
		out.Changes = append(out.Changes, platformread.KeyChange{
			Key: model.Key(k.Key), Revision: model.Revision(k.Revision), Deleted: k.Deleted,
		})
	}
	return out, nil
}

// Value implements Platform.
func (c *Client) Value(ctx context.Context, key model.Key) (Value, error) {
	var v value
	if _, err := c.caller.Get(ctx, "/v1/values/"+escapeKey(key), nil, 0, callTimeout, &v); err != nil {
		return Value{}, err
	}
	return Value{Key: key, Revision: model.Revision(v.Revision), Text: []byte(v.Value)}, nil
}

// escapeKey escapes the segments of a key for a URL path and keeps its slashes.
func escapeKey(key model.Key) string {
	segments := strings.Split(string(key), "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

// Instances implements Platform.
func (c *Client) Instances(ctx context.Context, after model.Revision, wait time.Duration) (InstanceListing, error) {
	var list instanceList
	if _, err := c.caller.Get(ctx, "/v1/instances", watchQuery(after, wait), wait, callTimeout, &list); err != nil {
		return InstanceListing{}, err
	}
	out := InstanceListing{Revision: model.Revision(list.Revision), Complete: after == 0}
	for _, i := range list.Instances {
		out.Members = append(out.Members, i.member())
	}
	return out, nil
}

func (i instance) member() model.Member {
	return model.Member{
		ID:        model.InstanceID(i.ID),
		Service:   model.ServiceName(i.Service),
		Domain:    model.FailureDomain(i.Domain),
		Addresses: model.Addresses{Traffic: i.Traffic, Control: i.Control, Operator: i.Operator},
		Listed:    parseListing(i.State),
		ListedAt:  model.Revision(i.Revision),

		WarmupLeft: frontend.WarmupFromMilliseconds(i.WarmupLeftMS),
	}
}

func parseListing(state string) model.Listing {
	switch state {
	case "live":
		return model.ListingLive
	case "leaving":
		return model.ListingLeaving
	case "removed":
		return model.ListingRemoved
	default:
		return model.ListingUnknown
	}
}

// watchQuery returns the query of a listing of the changes after a revision, with a
// long-poll wait.
func watchQuery(after model.Revision, wait time.Duration) url.Values {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	return query
}
