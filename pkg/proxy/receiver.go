package proxy

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/admission"
	"github.com/tarragondrum/tarragondrum/pkg/poison"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

// receiver runs calls on the upstreams of this host. It decides by what this
// node knows of its own upstreams, whatever bundle the sending node has.
type receiver struct {
	upstreams upstream.Local
	guard     poison.Guard // nil without one
	orders    orders
	metrics   *Metrics
}

// run runs one call. done must be called when the answer's reply is no longer
// needed; its error tells that a streamed reply broke off.
func (r *receiver) run(c *call) (a answer, done func(error)) {
	a, done = r.decide(c)
	if a.failed() {
		r.metrics.refused(sideUpstream, c.class, a.reason, a.effect)
	}
	return a, done
}

func noop(error) {}

func (r *receiver) decide(c *call) (answer, func(error)) {
	if r.guard != nil && r.guard.Quarantined(c.fingerprint) {
		return refuse(reason.Poison), noop
	}
	instance, err := r.upstreams.Find(c.service, c.upstream)
	if err != nil {
		return refuse(reason.UpstreamUnknown), noop
	}
	if c.isOrder() && r.orders.ledger != nil {
		return r.orders.run(c, func() (answer, func(error)) { return r.admit(c, instance) })
	}
	return r.admit(c, instance)
}

// admit waits for a slot and runs the call.
func (r *receiver) admit(c *call, i *upstream.Instance) (answer, func(error)) {
	slot, refusal := i.Acquire(c.ctx, c.class, c.deadline)
	if refusal != nil {
		a := refuseAs(refusal.Reason, reason.NotRun, refusal.RetryAfter)
		a.load = encodeLoad(i.Load())
		return a, noop
	}
	end := func(poison.End) {}
	if r.guard != nil {
		end = r.guard.Begin(i.Name(), c.fingerprint)
	}
	a, failure := r.exchange(c, i)
	done := func(streamErr error) {
		crashed := (broke(failure) || streamErr != nil) && r.upstreams.Suspect(i)
		end(endOf(failure, crashed))
		slot.Done(outcome(&a, streamErr), streamErr == nil && isGood(&a))
	}
	if a.reply == nil || a.reply.Stream == nil {
		done(nil)
		done = noop
	}
	a.load = encodeLoad(i.Load())
	return a, done
}

// isGood reports whether the upstream answered without an error of its own.
func isGood(a *answer) bool {
	return !a.failed() && a.reply.Header.StatusCode() < 500
}

// endOf tells the guard how a call ended.
func endOf(failure *client.Error, crashed bool) poison.End {
	switch {
	case failure != nil && !failure.Sent:
		return poison.EndNotSent
	case crashed:
		return poison.EndCrashed
	}
	return poison.EndAlive
}

// broke reports whether the connection ended in the middle of the call.
func broke(e *client.Error) bool {
	return e != nil && (e.Kind == client.KindBroken || e.Kind == client.KindConnect)
}

// outcome says what a call tells about the upstream's capacity.
func outcome(a *answer, streamErr error) admission.Outcome {
	switch {
	case a.reason == reason.Shed:
		return admission.OutcomeShed
	case a.failed() || streamErr != nil:
		return admission.OutcomeFailed
	}
	return admission.OutcomeOK
}

// exchange sends the call to the upstream and reads the reply.
func (r *receiver) exchange(c *call, i *upstream.Instance) (answer, *client.Error) {
	c.header.Set(HeaderDepth, c.depth.String())
	reply := &client.Reply{}
	failure := i.Pool().Do(c.ctx, c.request(time.Now()), reply)
	if failure != nil {
		return failureAnswer(failure), failure
	}
	return upstreamAnswer(reply), nil
}

// upstreamAnswer reads what an upstream says of its reply.
func upstreamAnswer(reply *client.Reply) answer {
	a := answer{reply: reply, effect: reason.Run}
	status := reply.Header.StatusCode()
	if status != statusUnavailable && status != statusTooManyRequests {
		return a
	}
	a.reason, a.effect = reason.Shed, reason.Unknown
	if string(reply.Header.Peek(HeaderShed)) == string(reason.NotRun) {
		a.effect = reason.NotRun
	}
	a.retryAfter = parseRetryAfter(reply.Header.Peek(reason.HeaderRetryAfter))
	reply.Header.Del(reason.HeaderRetryAfter)
	return a
}

const (
	statusTooManyRequests = 429
	statusUnavailable     = 503
	// defaultRetryAfter is told to callers when an upstream names no time.
	defaultRetryAfter = time.Second
)

// parseRetryAfter reads whole seconds; the form with a date counts as absent.
func parseRetryAfter(value []byte) time.Duration {
	n, err := strconv.ParseUint(string(value), 10, 16)
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}

// failureAnswer turns a failed exchange into a refusal. The call did not run if
// no byte of it was sent.
func failureAnswer(e *client.Error) answer {
	var a answer
	switch e.Kind {
	case client.KindBusy, client.KindConnect:
		a = refuse(reason.ConnectFailed)
	case client.KindTimeout:
		a = refuse(reason.DeadlineExceeded)
	case client.KindCancelled:
		a = refuse(reason.CallerGone)
	case client.KindMalformed:
		a = refuse(reason.UpstreamError)
	case client.KindBody:
		a = refuse(bodyProblem(e.Err))
	default:
		a = refuse(reason.ReplyBroken)
	}
	a.effect = reason.Unknown
	if !e.Sent {
		a.effect = reason.NotRun
	}
	if a.reason == reason.ReplyBroken && !e.Sent {
		a.reason = reason.ConnectFailed
	}
	return a
}

// isCancelled reports whether the caller has gone.
func isCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
