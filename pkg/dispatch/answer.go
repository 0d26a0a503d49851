package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/intake"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// upstreamResponse returns the newest answer of an upstream as the final response.
func (s *Service) upstreamResponse(r *request) *h1.Response {
	return &h1.Response{Status: r.answer.Status, Header: r.answer.Header, Body: r.answer.Body, Held: r.answer.Memory}
}

// failureResponse returns the final response when no try succeeded. It is the newest failure
// of an upstream if there is one, and otherwise an error response of this node. The status
// is 503, which invites a retry, only if the request certainly did not run.
func (s *Service) failureResponse(r *request, reason string) *h1.Response {
	r.reason = reason
	if r.answer != nil {
		return s.upstreamResponse(r)
	}
	if !r.mayHaveRun {
		after := max(r.retryAfter, minRetryAfter)
		if r.retryAfter == 0 {
			after = startRetryAfter
		}
		return errorResponse(http.StatusServiceUnavailable, reason, spread(after))
	}
	if reason == intake.ReasonDeadline || !time.Now().Before(r.deadline) {
		return errorResponse(http.StatusGatewayTimeout, reason, 0)
	}
	return errorResponse(http.StatusBadGateway, reason, 0)
}

// spread returns a random time around d, so that refused callers do not return at the same time.
func spread(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// errorResponse returns a response that this node generates itself.
func errorResponse(status int, reason string, retryAfter time.Duration) *h1.Response {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", h1.RetryAfterSeconds(retryAfter))
	}
	return &h1.Response{Status: status, Header: h, Body: []byte(`{"reason":"` + reason + `"}`)}
}

// InternalError returns the response to a request whose handling panicked. The request may have
// run.
func InternalError() *h1.Response { return errorResponse(http.StatusBadGateway, ReasonInternal, 0) }

// UnreadableRequest returns the response to a request that cannot be read completely.
func UnreadableRequest(status int, _ error) *h1.Response {
	if status == http.StatusServiceUnavailable {
		return errorResponse(status, ReasonNoMemory, startRetryAfter)
	}
	return errorResponse(status, ReasonUnreadable, 0)
}

// record describes the current state of a request for callbacks.
func (s *Service) record(r *request) *Record {
	rec := &Record{
		ID: r.id, Organisation: r.organisationName(), Service: r.service, Node: r.node, Version: r.version, Reason: r.reason,
		Tries: r.tries, Arrivals: r.arrivals, RetryAfter: r.retryAfter, Nested: r.call.Nested,
		Took: time.Since(r.req.Arrived), ReportAge: -1, UpstreamVersion: r.upstreamVersion,
	}
	if r.route != nil {
		rec.Route = r.route.Name
	}
	if !r.deadline.IsZero() {
		rec.Left = time.Until(r.deadline)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endpoints[r.node]; e != nil && !e.reportAt.IsZero() {
		rec.Report, rec.ReportAge = e.report, time.Since(e.reportAt)
	}
	return rec
}

// finish reports the final response of a request to Options.OnFinish and sets the request ID
// header if it is missing.
func (s *Service) finish(ctx context.Context, r *request, answer *h1.Response) *h1.Response {
	rec := s.record(r)
	rec.Status = answer.Status
	rec.CallerGone = errors.Is(ctx.Err(), context.Canceled)
	rec.Outcome = link.NotRun
	if r.mayHaveRun {
		rec.Outcome = link.Unknown
	}
	if answer.Header.Get(s.options.Headers.Signature) != "" {
		rec.Outcome = link.Ran
	} else if rec.Reason == "" {
		rec.Reason = reasonOf(answer)
	}
	if answer.Header.Get(s.options.Headers.RequestID) == "" && r.id != "" {
		answer.Header.Set(s.options.Headers.RequestID, r.id)
	}
	if r.tookQuota && rec.Outcome == link.NotRun {
		r.tookQuota = false
		s.options.Quota.Return(r.token)
	}
	s.recordCalls(r, rec)
	s.options.OnFinish(rec)
	return answer
}

// reasonOf returns the reason of a response that was generated before the first try.
func reasonOf(answer *h1.Response) string {
	switch answer.Status {
	case http.StatusNotFound:
		return ReasonNoRoute
	case http.StatusBadRequest:
		return ReasonNoID
	}
	return ReasonNoConfig
}
