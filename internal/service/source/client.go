package source

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/reading"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// callTimeout bounds a call beyond the time for which it may be held back.
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer; the list of instances is the largest.
	maxAnswerBytes = 32 << 20
	// maxRetryAfter bounds the wait that the platform can ask for.
	maxRetryAfter = time.Minute
)

// Client is the Platform over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the platform at a URL.
func NewClient(base string) *Client {
	transport := &http.Transport{
		Proxy:               nil,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

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
}

// Keys implements Platform.
func (c *Client) Keys(ctx context.Context, after model.Revision, wait time.Duration) (KeyListing, error) {
	var list keyList
	if err := c.get(ctx, "/v1/keys", watchQuery(after, wait), wait, &list); err != nil {
		return KeyListing{}, err
	}
	out := KeyListing{Revision: model.Revision(list.Revision)}
	for _, k := range list.Keys {
		out.Changes = append(out.Changes, reading.KeyChange{
			Key: model.Key(k.Key), Revision: model.Revision(k.Revision), Deleted: k.Deleted,
		})
	}
	return out, nil
}

// Value implements Platform.
func (c *Client) Value(ctx context.Context, key model.Key) (Value, error) {
	var v value
	if err := c.get(ctx, "/v1/values/"+escapeKey(key), nil, 0, &v); err != nil {
		return Value{}, err
	}
	return Value{Key: key, Revision: model.Revision(v.Revision), Text: []byte(v.Value)}, nil
}

// escapeKey keeps the slashes of a key.
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
	if err := c.get(ctx, "/v1/instances", watchQuery(after, wait), wait, &list); err != nil {
		return InstanceListing{}, err
	}
	out := InstanceListing{Revision: model.Revision(list.Revision)}
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

func watchQuery(after model.Revision, wait time.Duration) url.Values {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	return query
}

func (c *Client) get(ctx context.Context, path string, query url.Values, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return eris.Wrap(err, "building a call to the platform")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "calling the platform")
	}
	defer response.Body.Close()
	if err := checkStatus(response); err != nil {
		return err
	}
	body := io.LimitReader(response.Body, maxAnswerBytes)
	return eris.Wrap(json.NewDecoder(body).Decode(out), "decoding the platform's answer")
}

func checkStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNoValue
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &BusyError{RetryAfter: retryAfter(response.Header), Status: response.Status}
	default:
		return eris.Errorf("the platform answered %s", response.Status)
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
