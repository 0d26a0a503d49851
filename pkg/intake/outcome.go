package intake

import (
	"net/http"

	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// interpret derives the outcome of a request from its HTTP exchange.
func (s *Service) interpret(r *h1.Response, f *h1.Failure) *link.Answer {
	if f != nil {
		return failureAnswer(f)
	}
	h := s.options.Headers
	if r.Header.Get(h.NotExecuted) != "" || r.Status == http.StatusMisdirectedRequest {
		r.Held.Release()
		a := refuse(ReasonShed, 0)
		a.ReachedUpstream = true
		if r.Status == http.StatusMisdirectedRequest {
			a.Reason = ReasonWrongUpstream
		}
		return a
	}
	signed := r.Header.Get(h.Signature) != ""
	switch {
	case r.Status < http.StatusBadRequest && !signed, r.Header.Get("Content-Encoding") != "":
		r.Held.Release()
		return &link.Answer{Outcome: link.Unknown, Reason: ReasonAnswerMalformed, ReachedUpstream: true}
	case promisesNotRun(r.Status):
		// Callers take such a status to mean that the request did not run, which is not known
		// here.
		r.Held.Release()
		return &link.Answer{Outcome: link.Unknown, Reason: ReasonRefusalUnproven, ReachedUpstream: true}
	}
	return &link.Answer{Outcome: link.Ran, Status: r.Status, Header: r.Header, Body: r.Body, Memory: r.Held, ReachedUpstream: true}
}

// promisesNotRun reports whether callers take a status to mean that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failureAnswer returns the answer for an exchange without a valid HTTP answer.
func failureAnswer(f *h1.Failure) *link.Answer {
	a := &link.Answer{Outcome: link.Unknown, ReachedUpstream: f.MaybeSent}
	if !f.MaybeSent {
		a.Outcome = link.NotRun
	}
	switch f.Kind {
	case h1.FailConnect:
		a.Reason = ReasonUnreachable
	case h1.FailMalformed:
		a.Reason = ReasonAnswerMalformed
	case h1.FailCancelled:
		a.Reason = ReasonDeadline
	case h1.FailMemory:
		a.Reason = ReasonNoMemory
	default:
		a.Reason = ReasonAnswerBroken
	}
	return a
}
