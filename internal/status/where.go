package status

import (
	"bufio"
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/model"
)

// PathWhere explains where a request would go now. The query gives its method, its url
// and any number of header lines in the form "Name: value".
const PathWhere = "/where"

// Where is the response to PathWhere. Nothing was sent, and nothing in the node has changed.
type Where struct {
	Instance model.InstanceID    `json:"instance"`
	Domain   model.FailureDomain `json:"domain"`
	Method   string              `json:"method"`
	Host     string              `json:"host"`
	Path     string              `json:"path"`
	// Revision is that of the configuration that the routes come from, Applied how long
	// ago the node applied it.
	Revision model.Revision `json:"revision"`
	Applied  time.Duration  `json:"applied_ago_ns"`
	// Route is nil if none matches, or the node does not look for one.
	Route *WhereRoute `json:"route,omitempty"`
	// Refusal is set if the node would refuse the request without choosing a server.
	Refusal *WhereRefusal `json:"refusal,omitempty"`
	// Parts has one entry for each service that the route may send the request to. Which
	// one it is depends on how many requests came before.
	Parts []WherePart `json:"parts,omitempty"`
}

// WhereRoute is the matched route.
type WhereRoute struct {
	Team       model.TeamName `json:"team"`
	Name       string         `json:"name"`
	PathPrefix string         `json:"path_prefix"`
	// Document is the revision of the document that declares it, 0 if it is unknown.
	Document   model.Revision `json:"document_revision,omitempty"`
	Class      model.Class    `json:"class"`
	Priority   int            `json:"priority"`
	Idempotent bool           `json:"idempotent"`
	// Objective is the latency objective, 0 without one.
	Objective time.Duration `json:"objective_ns,omitempty"`
	// TimeLeft is the time in which the response must have arrived: the deadline of the
	// route or the timeout of the caller.
	TimeLeft time.Duration `json:"time_left_ns"`
	// FinalAttempt is true if the caller has no time left to retry when refused.
	FinalAttempt bool `json:"final_attempt,omitempty"`
}

// WhereRefusal is a response that the node generates itself.
type WhereRefusal struct {
	Status  int          `json:"status"`
	Outcome string       `json:"outcome"`
	Reason  model.Reason `json:"reason"`
	// RetryAfterFrom and RetryAfterTo bound the delay that the caller is asked to wait;
	// it is drawn between them. Both are 0 if there is none.
	RetryAfterFrom time.Duration `json:"retry_after_from_ns,omitempty"`
	RetryAfterTo   time.Duration `json:"retry_after_to_ns,omitempty"`
	// Allow lists the methods for status 405.
	Allow string `json:"allow,omitempty"`
}

// WherePart is one service of the route.
type WherePart struct {
	Service model.ServiceName `json:"service"`
	// Weight is the declared weight, Share the part of the requests, from 0 to 1.
	Weight int     `json:"weight"`
	Share  float64 `json:"share"`
	// Throttled is the share of such requests that the node refuses before the first hop,
	// from 0 to 1, and Throttle that refusal.
	Throttled float64       `json:"throttled"`
	Throttle  *WhereRefusal `json:"throttle,omitempty"`
	// Refusal is set if the service has no server for the request.
	Refusal *WhereRefusal `json:"refusal,omitempty"`
	Hedge   WhereHedge    `json:"hedge"`
	Selection
}

// WhereHedge states whether a second server would get the request too.
type WhereHedge struct {
	// Hedged is true if a second attempt starts unless a response arrives within After.
	Hedged bool          `json:"hedged"`
	After  time.Duration `json:"after_ns,omitempty"`
	// Reason states why it is not hedged.
	Reason string `json:"reason,omitempty"`
}

// Selection describes the choice of a server for the first attempt.
type Selection struct {
	// ByKey is true if the idempotency key determines the server.
	ByKey bool `json:"by_key,omitempty"`
	// Panic is true if ejections are ignored because most servers are ejected.
	Panic bool `json:"panic,omitempty"`
	// CrossDomainPenalty is added to the cost of servers of other failure domains when
	// they are compared with those of this node's domain.
	CrossDomainPenalty time.Duration `json:"cross_domain_penalty_ns"`
	// Candidates are ordered by Chosen, the largest first, then by cost.
	Candidates []WhereCandidate `json:"candidates"`
	// Excluded are ordered by instance. BeyondSubset counts further servers, among which
	// this node never chooses while the candidates are usable.
	Excluded     []WhereExcluded `json:"excluded,omitempty"`
	BeyondSubset int             `json:"beyond_subset,omitempty"`
}

// WhereCandidate is a server that may get the request. Ages are counted from the moment of
// the answer; an age is absent if there is no such data.
type WhereCandidate struct {
	Instance model.InstanceID    `json:"instance"`
	Domain   model.FailureDomain `json:"domain"`
	Address  string              `json:"address"`
	// Local is true for a server of this node's failure domain.
	Local bool `json:"local"`
	// Chosen is the share of such requests that would be sent to it first, from 0 to 1.
	Chosen float64   `json:"chosen"`
	Cost   WhereCost `json:"cost"`
	// Load is what its gate last reported; nil if it has not yet.
	Load *WhereLoad `json:"load,omitempty"`
	// Failures counts consecutive failures; LastFailure is the reason of the last one.
	Failures    int          `json:"failures,omitempty"`
	LastFailure model.Reason `json:"last_failure,omitempty"`
	// Saturated is true if its queue was full a moment ago.
	Saturated bool `json:"saturated,omitempty"`
	// SlowStart is the share of its usual requests that a new server gets; absent if it
	// is not in slow start.
	SlowStart float64    `json:"slow_start_share,omitempty"`
	Cold      *WhereCold `json:"cold,omitempty"`
	// MaxQueueWait is the longest predicted wait at which its gate accepts the request; 0
	// means no limit.
	MaxQueueWait time.Duration `json:"max_queue_wait_ns,omitempty"`
	// Gate is what the gate of this node would answer now; nil for other gates, whose Load
	// is all that is known here.
	Gate *WhereForecast `json:"gate,omitempty"`
}

// WhereCost holds the terms of a cost: SlotWait + Latency x (1 + Pending / Slots).
type WhereCost struct {
	Total    time.Duration `json:"total_ns"`
	SlotWait time.Duration `json:"slot_wait_ns"`
	// Latency includes Silence and doubles with each failure. LatencyAge is the age of its
	// last sample.
	Latency    time.Duration  `json:"latency_ns"`
	LatencyAge *time.Duration `json:"latency_age_ns,omitempty"`
	// Silence is how long requests have been outstanding without any of them ending.
	Silence time.Duration `json:"silence_ns,omitempty"`
	Pending float64       `json:"pending"`
	// Outstanding is the number of this node's own requests in Pending.
	Outstanding int `json:"outstanding"`
	Slots       int `json:"slots"`
}

// WhereLoad is the load that a gate reported with a response.
type WhereLoad struct {
	InFlight int           `json:"in_flight"`
	Queued   int           `json:"queued"`
	Wait     time.Duration `json:"wait_ns"`
	Age      time.Duration `json:"age_ns"`
}

// WhereCold describes a cold server.
type WhereCold struct {
	// Rate is the number of requests per second that it accepts, Share the share of its
	// usual requests that it gets therefore.
	Rate  float64 `json:"rate_per_s"`
	Share float64 `json:"share"`
	// Left is how long it stays cold, as listed Age ago.
	Left time.Duration `json:"left_ns"`
	Age  time.Duration `json:"age_ns"`
}

// WhereForecast is what a gate would do with the request if it arrived now.
type WhereForecast struct {
	// Verdict is "run", "wait", "replay" or "refuse".
	Verdict string `json:"verdict"`
	// Wait is the predicted wait for a slot.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// InFlight, Queued and Slots are the occupancy, Cold is true if the server is cold.
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Slots    int  `json:"slots"`
	Cold     bool `json:"cold,omitempty"`
	// Outcome and Reason are set for a refusal; RetryAfter is when the gate expects
	// capacity, 0 if it does not know.
	Outcome    string        `json:"outcome,omitempty"`
	Reason     model.Reason  `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Response is what the caller gets if no other server takes the request.
	Response *WhereRefusal `json:"response,omitempty"`
}

// WhereExcluded is a server that would not get the request.
type WhereExcluded struct {
	Instance model.InstanceID    `json:"instance"`
	Domain   model.FailureDomain `json:"domain,omitempty"`
	// Reason is a value of route.Absence or balance.Exclusion, or "evacuated".
	Reason string `json:"reason"`
	// Left is how much longer it is excluded, 0 if that is unknown.
	Left time.Duration `json:"left_ns,omitempty"`
	// Failures counts consecutive failures. LastFailure is the reason of the last one, or
	// with which its gate reported that it has left.
	Failures    int          `json:"failures,omitempty"`
	LastFailure model.Reason `json:"last_failure,omitempty"`
}

// Where asks the node at an operator address where a request would go.
func (c *Client) Where(ctx context.Context, address, method, target string, headers []string) (Where, error) {
	var w Where
	query := url.Values{"method": {method}, "url": {target}, "header": headers}
	err := c.get(ctx, address, PathWhere+"?"+query.Encode(), &w)
	return w, err
}

// ParseWhere returns the request that a caller would send, parsed as a node parses those of
// its callers. It has no body, whatever its header says.
func ParseWhere(method, target string, headers []string) (*http.Request, error) {
	if method == "" || target == "" {
		return nil, eris.New("the method or the URL of the request is missing")
	}
	lines := append([]string{method + " " + target + " HTTP/1.1"}, headers...)
	for _, line := range lines {
		if line == "" || strings.ContainsAny(line, "\r\n") {
			return nil, eris.Errorf("empty line or line break in %q", line)
		}
	}
	text := strings.Join(lines, "\r\n") + "\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return nil, eris.Wrapf(err, "request %s %s", method, target)
	}
	r.Body = http.NoBody
	return r, nil
}
