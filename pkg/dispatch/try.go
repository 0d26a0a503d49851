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

// place offers the request to upstreams until one answers or none is left.
func (s *Service) place(ctx context.Context, r *request) *h1.Response {
	if s.options.Poisoned(r.call.Fingerprint) {
		return s.fail(r, intake.ReasonPoison)
	}
	for {
		host, ok := s.choose(r)
		if !ok {
			if r.reason == "" {
				r.reason = intake.ReasonNoUpstream
			}
			return s.fail(r, r.reason)
		}
		answer := s.try(ctx, r, host)
		if answer.Outcome == link.Ran {
			if r.answer != nil {
				r.answer.Held.Release()
			}
			r.answer = answer
			if !s.repeatFailure(r, answer) {
				return s.pass(r)
			}
		}
		r.reason = answer.Reason
		if answer.RetryAfterMs > 0 {
			after := time.Duration(answer.RetryAfterMs) * time.Millisecond
			if r.retryAfter == 0 || after < r.retryAfter {
				r.retryAfter = after
			}
		}
		if ctx.Err() != nil || !s.again(r, answer) {
			return s.fail(r, r.reason)
		}
	}
}

// repeatFailure reports whether an upstream's own failure is worth a repeat.
func (s *Service) repeatFailure(r *request, a *link.Answer) bool {
	return r.route.Idempotent && a.Status >= http.StatusInternalServerError && time.Since(r.q.Arrived) < r.route.Target
}

// again decides whether a request is placed again and counts that.
func (s *Service) again(r *request, a *link.Answer) bool {
	v := Decide(Try{
		Places: r.places, Waits: r.waits, Arrivals: r.arrivals, MaxAttempts: r.route.MaxAttempts,
		Idempotent: r.route.Idempotent, Outcome: a.Outcome, Arrived: a.Arrived, Left: time.Until(r.deadline),
	})
	allowed := v != Stop
	if v == Paid {
		s.mu.Lock()
		allowed = s.budget(r.service).Take(time.Now(), s.options.Budget(), r.mayRun)
		s.mu.Unlock()
	}
	s.options.Repeated(s.record(r), a.Reason, v, allowed)
	return allowed
}

// attempt is one try on its way.
type attempt struct {
	host   fleet.Host
	call   link.Call
	answer *link.Answer
}

// prepareTry notes a try of the request at a host.
func (s *Service) prepareTry(r *request, host fleet.Host) *attempt {
	now := time.Now()
	call := r.call
	call.UpstreamID = host.Upstream.ID
	call.LeftMs = max(1, r.deadline.Sub(now).Milliseconds())
	call.AimMs = r.aim.Sub(now).Milliseconds()
	r.tried[host.Node] = true
	r.places++
	r.node = host.Node
	return &attempt{host: host, call: call}
}

// send runs a try. It is safe beside another one of the same request.
func (s *Service) send(ctx context.Context, r *request, a *attempt) {
	wait := patience
	if !r.route.Idempotent {
		wait = time.Until(r.deadline) + answerSlack
	}
	s.begin(a.host.Node, r.route.LargeAnswers)
	start := time.Now()
	var answer *link.Answer
	var err error
	// A try of its own goroutine is out of reach of the guard of its request.
	if guard.Run("try", s.options.Panicked, func() { answer, err = s.options.Send(ctx, a.host.Node, &a.call, wait) }) != nil {
		answer = &link.Answer{Outcome: link.Unknown, Reason: ReasonInternal, Arrived: true}
	}
	s.ended(a.host.Node, r, answer, time.Since(start))
	if err != nil {
		answer = lostAnswer(ctx, err)
	}
	a.answer = answer
}

// note takes in how a try ended.
func (r *request) note(a *attempt) {
	if a.answer.Arrived {
		r.arrivals++
	}
	r.mayRun = r.mayRun || a.answer.Outcome != link.NotRun
	r.node = a.host.Node
	switch a.answer.Reason {
	case string(intake.Full):
		r.busy[a.host.Node] = true
		if r.call.MayWait {
			// The second of two tries did not wait there, the next one may.
			delete(r.tried, a.host.Node)
		}
	case string(intake.TooLate), string(intake.LinkFull):
		r.waits++
	}
}

// try sends the request to a host. When the answer takes far longer than usual,
// it sends an idempotent request to a second one that has a free slot, and takes
// the first answer.
func (s *Service) try(ctx context.Context, r *request, host fleet.Host) *link.Answer {
	first := s.prepareTry(r, host)
	after, ok := s.hedgeAfter(r)
	if !ok {
		s.send(ctx, r, first)
		r.note(first)
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
			r.note(a)
			open--
			if open == 0 || a.answer.Outcome == link.Ran && a.answer.Status < http.StatusInternalServerError {
				// The one that is still open may run, which an idempotent request may.
				if open > 0 {
					r.mayRun = true
					go func() { (<-ended).answer.Held.Release() }()
				}
				return a.answer
			}
			a.answer.Held.Release()
		}
	}
}

const (
	// hedgeFactor is how many mean times of its route an answer takes before a
	// second upstream is asked: with usual work few answers take as long.
	hedgeFactor = 4.0
	// minHedge keeps short requests from being sent twice for a small delay.
	minHedge = 100 * time.Millisecond
)

// hedgeAfter returns when a second upstream is asked, if the request allows it.
func (s *Service) hedgeAfter(r *request) (time.Duration, bool) {
	if !r.route.Idempotent || r.arrivals+2 > r.route.MaxAttempts {
		return 0, false
	}
	s.mu.Lock()
	mean, known := s.took[r.route.Name]
	s.mu.Unlock()
	after := max(minHedge, time.Duration(hedgeFactor*float64(mean)))
	return after, known && after < time.Until(r.deadline)-mean
}

// hedge prepares a second try at a host with a free slot, if the budget allows
// one. It returns nil if not.
func (s *Service) hedge(r *request) *attempt {
	host, ok := s.chooseFree(r)
	if !ok {
		return nil
	}
	s.mu.Lock()
	allowed := s.budget(r.service).Take(time.Now(), s.options.Budget(), true)
	s.mu.Unlock()
	s.options.Repeated(s.record(r), reasonSlow, Paid, allowed)
	if !allowed {
		return nil
	}
	second := s.prepareTry(r, host)
	second.call.MayWait = false
	return second
}

// refund takes a second try that no upstream got out of the budget.
func (s *Service) refund(r *request, a *attempt) {
	if a.answer.Arrived {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(r.service).Return(time.Now(), s.options.Budget())
}

// reasonSlow is the reason of a second try beside the first.
const reasonSlow = "slow-answer"

// lostAnswer is the outcome of a call that brought no answer.
func lostAnswer(ctx context.Context, err error) *link.Answer {
	switch {
	case errors.Is(err, link.ErrNotSent):
		return &link.Answer{Outcome: link.NotRun, Reason: ReasonNotSent}
	case ctx.Err() != nil:
		return &link.Answer{Outcome: link.Unknown, Reason: intake.ReasonEnded, Arrived: true}
	}
	return &link.Answer{Outcome: link.Unknown, Reason: ReasonLost, Arrived: true}
}
