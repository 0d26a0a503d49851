package host

import (
	"context"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/quota"
)

// quotaWaiter is a request that waits for a token. It gets one result.
type quotaWaiter struct {
	result chan quotaResult
}

// quotaResult is a token, or a refusal if ok is not set.
type quotaResult struct {
	token      quota.Token
	ok         bool
	retryAfter time.Duration
}

// Take implements dispatch.Quota.
func (q *quotas) Take(ctx context.Context, o *meshconf.Organisation) (quota.Token, bool, time.Duration) {
	if o.RatePerS <= 0 {
		return quota.Token{}, true, 0
	}
	q.mu.Lock()
	now := q.clock()
	q.update(now)
	if q.engine == nil {
		q.mu.Unlock()
		return quota.Token{}, true, 0
	}
	t, ok, wait := q.engine.Take(now, o.Name)
	if ok || !wait {
		r := quotaResult{token: t, ok: ok}
		if !ok {
			r = q.refuse(now, o.Name)
		}
		q.mu.Unlock()
		return r.token, r.ok, r.retryAfter
	}
	v := &quotaWaiter{result: make(chan quotaResult, 1)}
	q.waiters[o.Name] = append(q.waiters[o.Name], v)
	q.engine.Wait(now, o.Name)
	list := q.engine.Flush(now)
	q.schedule(now)
	q.mu.Unlock()
	q.send(list)
	r := q.await(ctx, o.Name, v)
	q.watch.waits.Observe((q.clock() - now).Seconds())
	return r.token, r.ok, r.retryAfter
}

// await waits for the result of a waiting request, for at most quota.MaxWait.
func (q *quotas) await(ctx context.Context, organisation string, v *quotaWaiter) quotaResult {
	again := time.NewTicker(quota.AskInterval)
	defer again.Stop()
	end := time.NewTimer(quota.MaxWait)
	defer end.Stop()
	for {
		select {
		case r := <-v.result:
			return r
		case <-again.C:
			q.askAgain(organisation)
		case <-end.C:
			return q.giveUp(organisation, v)
		case <-ctx.Done():
			return q.giveUp(organisation, v)
		}
	}
}

// askAgain requests the tokens that waiting requests lack once more.
func (q *quotas) askAgain(organisation string) {
	q.mu.Lock()
	if q.engine == nil {
		q.mu.Unlock()
		return
	}
	now := q.clock()
	q.engine.AskAgain(now, organisation)
	q.wake(now, organisation)
	list := q.engine.Flush(now)
	q.schedule(now)
	q.mu.Unlock()
	q.send(list)
}

// giveUp ends the wait of a request, which gets a token if there is one now.
func (q *quotas) giveUp(organisation string, v *quotaWaiter) quotaResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case r := <-v.result:
		return r
	default:
	}
	now := q.clock()
	list := slices.DeleteFunc(q.waiters[organisation], func(other *quotaWaiter) bool { return other == v })
	if q.waiters[organisation] = list; len(list) == 0 {
		delete(q.waiters, organisation)
	}
	q.engine.EndWait(organisation) // engine is set: otherwise stop has sent a result
	if t, ok := q.engine.TakeLater(now, organisation); ok {
		return quotaResult{token: t, ok: true}
	}
	return q.refuse(now, organisation)
}

// wake gives the waiting requests of an organisation tokens, or refuses them if the hub has
// none. The caller holds mu.
func (q *quotas) wake(now time.Duration, organisation string) {
	list := q.waiters[organisation]
	for len(list) > 0 {
		r := quotaResult{}
		if r.token, r.ok = q.engine.TakeLater(now, organisation); !r.ok {
			if !q.engine.IsRefused(now, organisation) {
				break
			}
			r = q.refuse(now, organisation)
		}
		q.engine.EndWait(organisation)
		list[0].result <- r
		list = list[1:]
	}
	if len(list) == 0 {
		delete(q.waiters, organisation)
		return
	}
	q.waiters[organisation] = list
}

// wakeAll wakes the waiting requests of all organisations. The caller holds mu.
func (q *quotas) wakeAll(now time.Duration) {
	for organisation := range q.waiters {
		q.wake(now, organisation)
	}
}

// refuse returns a refusal. The caller holds mu.
func (q *quotas) refuse(now time.Duration, organisation string) quotaResult {
	after := q.engine.RetryAfter(now, organisation)
	q.watch.refused(organisation, after, q.engine, q.hub)
	return quotaResult{retryAfter: after}
}

// Return implements dispatch.Quota.
func (q *quotas) Return(t quota.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.engine != nil {
		q.engine.Return(q.clock(), t)
	}
}
