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

// pass is the final answer of an upstream.
func (s *Service) pass(r *request) *h1.Response {
	return &h1.Response{Status: r.answer.Status, Header: r.answer.Header, Body: r.answer.Body, Held: r.answer.Held}
}

// fail is the final answer after a try without a good one: an upstream's own
// failure if there was one, and a refusal if the request ran nowhere.
func (s *Service) fail(r *request, reason string) *h1.Response {
	r.reason = reason
	if r.answer != nil {
		return s.pass(r)
	}
	if !r.mayRun {
		after := max(r.retryAfter, minRetryAfter)
		if r.retryAfter == 0 {
			after = startRetryAfter
		}
		// Spread, so that refused callers do not return together.
		after = after*3/4 + rand.N(after/2)
		return refusal(http.StatusServiceUnavailable, reason, after)
	}
	if reason == intake.ReasonEnded || !time.Now().Before(r.deadline) {
		return refusal(http.StatusGatewayTimeout, reason, 0)
	}
	return refusal(http.StatusBadGateway, reason, 0)
}

// refusal is an answer of this node itself.
func refusal(status int, reason string, retryAfter time.Duration) *h1.Response {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", h1.Seconds(retryAfter))
	}
	return &h1.Response{Status: status, Header: h, Body: []byte(`{"reason":"` + reason + `"}`)}
}

// Broken is the answer to a request whose handling failed unexpectedly: it may have run.
func Broken() *h1.Response { return refusal(http.StatusBadGateway, ReasonInternal, 0) }

// Unreadable is the answer to a request that cannot be read whole.
func Unreadable(status int, _ error) *h1.Response {
	if status == http.StatusServiceUnavailable {
		return refusal(status, ReasonNoMemory, startRetryAfter)
	}
	return refusal(status, ReasonUnreadable, 0)
}

func (s *Service) record(r *request) *Record {
	rec := &Record{
		ID: r.id, Service: r.service, Node: r.node, Version: r.version, Reason: r.reason,
		Places: r.places, Arrivals: r.arrivals, RetryAfter: r.retryAfter,
		Took: time.Since(r.q.Arrived), ReportAge: -1,
	}
	if r.route != nil {
		rec.Route, rec.Left = r.route.Name, time.Until(r.deadline)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endpoints[r.node]; e != nil && !e.reportAt.IsZero() {
		rec.Report, rec.ReportAge = e.report, time.Since(e.reportAt)
	}
	return rec
}

// end records how a request ended.
func (s *Service) end(ctx context.Context, r *request, answer *h1.Response) *h1.Response {
	rec := s.record(r)
	rec.Status = answer.Status
	rec.CallerGone = errors.Is(ctx.Err(), context.Canceled)
	rec.Outcome = link.NotRun
	if r.mayRun {
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
	s.options.Observe(rec)
	return answer
}

// reasonOf names the reason of an answer that was given before any try.
func reasonOf(answer *h1.Response) string {
	switch answer.Status {
	case http.StatusNotFound:
		return ReasonNoRoute
	case http.StatusBadRequest:
		return ReasonNoID
	}
	return ReasonNoConfig
}
