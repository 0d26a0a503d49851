package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/intake"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// forward sends the request to one upstream after another until one answers or no further
// try is allowed.
func (s *Service) forward(ctx context.Context, r *request) *h1.Response {
	if s.options.Poisoned(r.call.Fingerprint) {
		return s.failureResponse(r, intake.ReasonPoison)
	}
	for {
		host, ok := s.chooseHost(r)
		if !ok {
			if r.reason == "" {
				r.reason = s.noUpstreamReason(r, intake.ReasonNoUpstream)
			}
			return s.failureResponse(r, r.reason)
		}
		answer := s.try(ctx, r, host)
		if answer.Outcome == link.Ran {
			if r.answer != nil {
				r.answer.Memory.Release()
			}
			r.answer = answer
			if answer.Status < http.StatusInternalServerError && s.options.OnCompleted != nil {
				s.options.OnCompleted(r.call.Fingerprint)
			}
			if !s.shouldRetryFailure(r, answer) {
				return s.upstreamResponse(r)
			}
		}
		r.reason = answer.Reason
		if answer.RetryAfterMs > 0 {
			after := time.Duration(answer.RetryAfterMs) * time.Millisecond
			if r.retryAfter == 0 || after < r.retryAfter {
				r.retryAfter = after
			}
		}
		if ctx.Err() != nil || !s.allowRetry(r, answer) {
			return s.failureResponse(r, r.reason)
		}
	}
}

// shouldRetryFailure reports whether a request that an upstream answered with a 5xx status
// is worth a retry.
func (s *Service) shouldRetryFailure(r *request, a *link.Answer) bool {
	return r.route.Idempotent && a.Status >= http.StatusInternalServerError && time.Since(r.req.Arrived) < r.route.Target
}

// allowRetry decides whether a request is retried and counts the retry in the budget.
func (s *Service) allowRetry(r *request, a *link.Answer) bool {
	v := DecideRetry(FailedTry{
		Tries: r.tries, WaitRefusals: r.waitRefusals, Arrivals: r.arrivals, MaxAttempts: r.route.MaxAttempts,
		Idempotent: r.route.Idempotent, Nested: r.call.Nested, Outcome: a.Outcome, Arrived: a.ReachedUpstream, Left: time.Until(r.deadline),
	})
	allowed := v != NoRetry
	if v == RetryBudgeted {
		s.mu.Lock()
		allowed = s.budget(r.service).TryRetry(time.Now(), s.options.Budget(), r.mayHaveRun, r.call.Nested)
		s.mu.Unlock()
	}
	s.options.OnRetryDecision(s.record(r), a.Reason, v, allowed)
	return allowed
}

// attempt is one try in progress.
type attempt struct {
	host   fleet.Host
	call   link.Call
	answer *link.Answer
	// work is the expected slot time at the host, and usualSpeed the speed that counted as usual
	// in its estimate.
	work       time.Duration
	usualSpeed float64
}

// newAttempt records that the request is sent to a host and builds the call.
func (s *Service) newAttempt(r *request, host fleet.Host) *attempt {
	now := time.Now()
	call := r.call
	call.UpstreamID = host.Upstream.ID
	call.KnownLimit = s.knownLimit(&host)
	call.RemainingMs = max(1, r.deadline.Sub(now).Milliseconds())
	call.LatencyTargetMs = r.target.Sub(now).Milliseconds()
	r.tried[host.Node] = true
	r.tries++
	r.node, r.upstreamVersion = host.Node, host.Upstream.Version
	call.ExpectedMs = float64(r.expected) / float64(time.Millisecond)
	return &attempt{host: host, call: call, work: r.expectedThere, usualSpeed: r.usualSpeed}
}

// send runs a try and stores its answer in a. Two tries of one request may run concurrently.
func (s *Service) send(ctx context.Context, r *request, a *attempt) {
	timeout := lostNodeTimeout
	if !r.route.Idempotent {
		timeout = time.Until(r.deadline) + answerSlack
	}
	s.tryStarted(a.host.Node, r, a.work)
	ended := s.versions.Try(&a.host)
	start := time.Now()
	var answer *link.Answer
	var err error
	// The try may run in its own goroutine, where the panic handler of the request does not
	// catch its panics.
	if guard.Run("try", s.options.OnPanic, func() { answer, err = s.options.Send(ctx, a.host.Node, &a.call, timeout) }) != nil {
		answer = &link.Answer{Outcome: link.Unknown, Reason: ReasonInternal, ReachedUpstream: true}
	}
	s.tryEnded(a.host.Node, r, answer, time.Since(start))
	s.learnCost(a, answer)
	s.recordNotice(&a.host, answer)
	ended(s.response(ctx, r, &a.host, answer, err, start))
	if err != nil {
		answer = answerForError(ctx, err)
	}
	a.answer = answer
}

// recordResult updates the request with the result of a try.
func (r *request) recordResult(a *attempt) {
	if a.answer.ReachedUpstream {
		r.arrivals++
	}
	if a.answer.Outcome != link.NotRun {
		r.called = a.answer.Called
	}
	r.mayHaveRun = r.mayHaveRun || a.answer.Outcome != link.NotRun
	r.node, r.upstreamVersion = a.host.Node, a.host.Upstream.Version
	switch a.answer.Reason {
	case string(intake.NoSlot):
		r.noSlot[a.host.Node] = true
		if r.call.MayQueue {
			// The try was a hedge, which must not wait. The next try at this host may.
			delete(r.tried, a.host.Node)
		}
	case string(intake.LinkFull):
		switch {
		case largeBody(r) == 0:
			r.waitRefusals++
		case !a.call.MayQueue:
			// The node may be asked again to let the request wait for its link.
			r.noSlot[a.host.Node] = true
		}
	case string(intake.TooLate), string(intake.Displaced), string(intake.RateLimited):
		r.waitRefusals++
	}
}

// try sends the request to a host and returns the answer. If the answer of an idempotent
// request takes much longer than usual, it also sends the request to a second host with a
// free slot and returns the first success of the two.
func (s *Service) try(ctx context.Context, r *request, host fleet.Host) *link.Answer {
	first := s.newAttempt(r, host)
	after, ok := s.hedgeAfter(r)
	if !ok {
		s.send(ctx, r, first)
		r.recordResult(first)
		return first.answer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan *attempt, 2)
	run := func(a *attempt) {
		s.send(ctx, r, a)
		ended <- a
	}
	go run(first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	open := 1
	for {
		select {
		case <-timer.C:
			if second := s.hedge(r); second != nil {
				open++
				go func() {
					s.send(ctx, r, second)
					s.refund(r, second)
					ended <- second
				}()
			}
			continue
		case a := <-ended:
			r.recordResult(a)
			open--
			if open == 0 || a.answer.Outcome == link.Ran && a.answer.Status < http.StatusInternalServerError {
				// The other try may still run, which is safe for an idempotent request.
				if open > 0 {
					r.mayHaveRun = true
					go func() { (<-ended).answer.Memory.Release() }()
				}
				return a.answer
			}
			a.answer.Memory.Release()
		}
	}
}

const (
	// hedgeFactor is the number of mean times of the route after which the request is sent to
	// a second upstream. Few answers take that long under normal load.
	hedgeFactor = 4.0
	// minHedgeDelay is the shortest time before a second try. It keeps short requests from
	// being sent twice because of a small delay.
	minHedgeDelay = 100 * time.Millisecond
)

// hedgeAfter returns the time after which the request is sent to a second upstream, and
// whether the request allows it.
func (s *Service) hedgeAfter(r *request) (time.Duration, bool) {
	if !r.route.Idempotent || r.arrivals+2 > r.route.MaxAttempts {
		return 0, false
	}
	s.mu.Lock()
	mean, known := s.meanTimes[r.route.Name]
	s.mu.Unlock()
	after := max(minHedgeDelay, time.Duration(hedgeFactor*float64(mean)))
	return after, known && after < time.Until(r.deadline)-mean
}

// hedge prepares a second try at a host with a free slot. It returns nil if there is no such
// host or the retry budget does not allow it.
func (s *Service) hedge(r *request) *attempt {
	host, ok := s.chooseFreeHost(r)
	if !ok {
		return nil
	}
	s.mu.Lock()
	allowed := s.budget(r.service).TryRetry(time.Now(), s.options.Budget(), true, r.call.Nested)
	s.mu.Unlock()
	s.options.OnRetryDecision(s.record(r), reasonSlow, RetryBudgeted, allowed)
	if !allowed {
		return nil
	}
	second := s.newAttempt(r, host)
	second.call.MayQueue = false
	return second
}

// refund returns a second try that reached no upstream to the retry budget.
func (s *Service) refund(r *request, a *attempt) {
	if a.answer.ReachedUpstream {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(r.service).Refund(time.Now(), s.options.Budget())
}

// reasonSlow is the reason of a second try that runs beside the first.
const reasonSlow = "slow-answer"

// answerForError returns the outcome of a call that failed with err instead of an answer.
func answerForError(ctx context.Context, err error) *link.Answer {
	switch {
	case errors.Is(err, link.ErrBodyNotSent):
		return &link.Answer{Outcome: link.NotRun, Reason: ReasonBodyNotSent}
	case errors.Is(err, link.ErrNotSent):
		return &link.Answer{Outcome: link.NotRun, Reason: ReasonNotSent}
	case ctx.Err() != nil:
		return &link.Answer{Outcome: link.Unknown, Reason: intake.ReasonDeadline, ReachedUpstream: true}
	}
	return &link.Answer{Outcome: link.Unknown, Reason: ReasonLost, ReachedUpstream: true}
}
