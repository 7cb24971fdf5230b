package ingress

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/retryafter"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/decision/urgency"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/status"
)

// The services that only the page "where" uses.
type (
	pages interface {
		Handle(pattern string, h http.Handler)
	}
	configurationSource interface {
		Configuration() *kernel.Snapshot[*model.Configuration]
	}
	explainer interface {
		// Explain describes what Forward would do with the request, and changes nothing.
		Explain(q *call.Request) status.WherePart
	}
)

// provideWhere adds the page that explains where a request would go, if the node has an
// operator port.
func (s *Service) provideWhere(c *kernel.Context) {
	page, err := kernel.Find[pages](c, control.Operator)
	if err != nil {
		return
	}
	forward, err := kernel.Find[explainer](c, control.Forward)
	if err != nil {
		return
	}
	configuration, _ := kernel.Find[configurationSource](c, control.Config)
	page.Handle(status.PathWhere, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		request, err := status.ParseWhere(query.Get("method"), query.Get("url"), query["header"])
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer := s.where(request, forward)
		if configuration != nil {
			addDocument(&answer, configuration.Configuration().Load())
		}
		body, err := json.Marshal(answer)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // fails only if the client has disconnected
	}))
}

// addDocument adds the revision of the document that declares the route. Without it, the
// node has applied another configuration since.
func addDocument(answer *status.Where, c *model.Configuration) {
	if answer.Route == nil || c == nil || c.Cut.Revision != answer.Revision {
		return
	}
	if document := c.Running[model.TeamKey(answer.Route.Team)]; document != nil {
		answer.Route.Document = document.Revision
	}
}

// where describes what serve would do with the request now.
func (s *Service) where(r *http.Request, forward explainer) status.Where {
	begin := s.clock.Now()
	out := status.Where{
		Instance: s.config.Self.ID, Domain: s.config.Self.Domain,
		Method: r.Method, Host: route.CanonicalHost(r.Host), Path: sentPath(r.URL),
	}
	caller, headerErr := s.config.Headers.Caller(r.Header)
	table, rt, refused := s.find(r, int64(s.inFlight.count())+1)
	if table != nil {
		out.Revision, out.Applied = table.Revision, begin.Sub(table.AppliedAt)
	}
	entry := requestLog{caller: caller, begin: begin, match: route.Match{Route: rt}}
	if refused == nil {
		refused = checkHeader(r, rt, headerErr)
	}
	if refused != nil {
		out.Refusal = s.describeRefusal(entry, *refused)
		return out
	}
	deadline := deadlineOf(caller, rt, begin)
	streamed := r.ContentLength < 0 || r.ContentLength > call.BufferLimit
	refused = s.checkTimeLeft(rt, deadline, streamed, destinationsOf(table, rt)...)
	if refused == nil {
		refused = checkLength(r, rt)
	}
	deadline = s.limitToDrain(deadline)
	u := estimateUrgency(caller, rt, max(s.knownLongestTimeout(rt), caller.Timeout), deadline.Sub(begin))
	out.Route = describeRoute(rt, deadline.Sub(begin), u)
	if refused != nil {
		out.Refusal = s.describeRefusal(entry, *refused)
		return out
	}
	q := newRequest(r, caller.ID, route.Match{Route: rt}, &call.Body{}, deadline)
	q.SoftDeadline, q.FinalAttempt = begin.Add(u.SoftTimeout), u.FinalAttempt
	for _, part := range table.Parts(rt) {
		q.Destination = part.Destination
		explained := forward.Explain(q)
		explained.Weight, explained.Share = part.Weight, part.Share
		s.addRefusals(&explained, entry)
		out.Parts = append(out.Parts, explained)
	}
	return out
}

// destinationsOf returns the destinations of all parts of a route.
func destinationsOf(table *route.Table, rt *model.Route) []*route.Destination {
	var out []*route.Destination
	for _, part := range table.Parts(rt) {
		out = append(out, part.Destination)
	}
	return out
}

// addRefusals adds what the caller would be told if the request is refused.
func (s *Service) addRefusals(part *status.WherePart, entry requestLog) {
	if part.Throttled > 0 {
		part.Throttle = s.describeRefusal(entry, *notRun(http.StatusServiceUnavailable, model.ReasonOverloaded))
	}
	if len(part.Candidates) == 0 {
		part.Refusal = s.describeRefusal(entry, *notRun(http.StatusServiceUnavailable, model.ReasonNoServer))
	}
	for _, c := range part.Candidates {
		if c.Gate == nil || c.Gate.Outcome == "" {
			continue
		}
		refused := refusal{outcome: model.OutcomeNotRun, reason: c.Gate.Reason, retryAfter: c.Gate.RetryAfter}
		if c.Gate.Outcome != model.OutcomeNotRun.String() {
			refused.outcome = model.OutcomeUnknown
		}
		refused.status = statusOf(refused.outcome, refused.reason)
		c.Gate.Response = s.describeRefusal(entry, refused)
	}
}

// describeRefusal describes a refusal, with the span of its Retry-After delay instead of a
// random one.
func (s *Service) describeRefusal(entry requestLog, r refusal) *status.WhereRefusal {
	out := &status.WhereRefusal{Status: r.status, Outcome: r.outcome.String(), Reason: r.reason, Allow: r.allow}
	if r.status == http.StatusServiceUnavailable {
		refused := s.retryRefusal(entry, r)
		out.RetryAfterFrom, out.RetryAfterTo = retryafter.Delay(refused, 0), retryafter.Delay(refused, 1)
	}
	return out
}

func describeRoute(rt *model.Route, left time.Duration, u urgency.Urgency) *status.WhereRoute {
	return &status.WhereRoute{
		Team: rt.Team, Name: rt.Name, PathPrefix: rt.PathPrefix, Class: rt.Class, Priority: rt.Priority,
		Idempotent: rt.Idempotent, Objective: rt.Objective, TimeLeft: left, FinalAttempt: u.FinalAttempt,
	}
}

// checkHeader refuses a request whose header is malformed, which err states, or exceeds the
// limit of its route.
func checkHeader(r *http.Request, rt *model.Route, err error) *refusal {
	switch {
	case err != nil:
		return notRun(http.StatusBadRequest, reasonInvalid)
	case headerTooLarge(r, rt):
		return notRun(http.StatusRequestHeaderFieldsTooLarge, model.ReasonTooLarge)
	}
	return nil
}

// checkLength refuses a request that declares a body beyond the limit of its route.
func checkLength(r *http.Request, rt *model.Route) *refusal {
	if rt.MaxBody > 0 && r.ContentLength > rt.MaxBody {
		return notRun(http.StatusRequestEntityTooLarge, model.ReasonTooLarge)
	}
	return nil
}

// estimateUrgency returns the urgency of a request with the given time left. longest is
// the longest timeout of the route's callers.
func estimateUrgency(caller frontend.CallerRequest, rt *model.Route, longest, left time.Duration) urgency.Urgency {
	if rt.Objective <= 0 || caller.Timeout <= 0 {
		longest = caller.Timeout
	}
	return urgency.Estimate(urgency.Caller{
		Objective: rt.Objective, Timeout: caller.Timeout, LongestTimeout: longest, RetryAfter: retryafter.Minimum,
	}, left)
}
