package proxy

import (
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/retry"
	"github.com/tarragondrum/tarragondrum/pkg/routing"
)

// maxNodeConns bounds the connections to one other node.
const maxNodeConns = 512

// forwarder is the first node's part of a call: it chooses the upstream, sends
// the call to its node and tries again where that is safe.
type forwarder struct {
	self     model.NodeID
	token    Token
	table    *table
	receiver *receiver
	orders   orders
	metrics  *Metrics
	log      *event.Log

	mu    sync.Mutex
	pools map[string]*client.Pool
}

// serve returns the answer of a call. done must be called when the answer's
// reply is no longer needed.
func (f *forwarder) serve(c *call) (answer, func(error)) {
	if f.receiver.guard != nil && f.receiver.guard.Quarantined(c.fingerprint) {
		return refuse(reason.Poison), noop
	}
	e := f.table.entry(c.service)
	e.call(c.budget)
	var tried []routing.Key
	var last answer
	var all outcomes
	for number := 1; ; number++ {
		p, refusal := f.place(c, e, tried)
		if refusal != nil {
			if number > 1 {
				refusal = &last
			}
			return *refusal, noop
		}
		a, done := f.try(c, e, p)
		if !a.failed() {
			return a, done
		}
		again := f.again(c, e, &a, number)
		all.add(&a)
		if !again {
			return a, done
		}
		done(nil)
		a.close()
		last = a
		last.reply = nil
		tried = append(tried, p.Key)
		c.depth.Retried = c.depth.Retried || !retry.IsFree(a.reason)
	}
}

// outcomes is what the tries of a call tell together.
type outcomes struct {
	effect reason.Effect // empty before the first try
	// reason is that of the newest try that may have run.
	reason reason.Reason
}

// add takes in a failed try and makes its answer speak for all tries: if an
// earlier one may have run, the call may have, for that try's reason.
func (o *outcomes) add(a *answer) {
	own := a.effect
	if o.effect == "" {
		o.effect = own
	}
	o.effect = retry.Together(o.effect, own)
	if own != reason.NotRun {
		o.reason = a.reason
		return
	}
	if o.effect != reason.NotRun {
		a.close()
		a.reply, a.reason, a.effect = nil, o.reason, o.effect
	}
}

// close gives up the reply of a try that is not passed on.
func (a *answer) close() {
	if a.reply != nil {
		a.reply.Close()
	}
}

// place returns the endpoint of the next try: for an order with a key the node
// that owns the key, otherwise the one that the chooser picks.
func (f *forwarder) place(c *call, e *entry, tried []routing.Key) (*routing.Endpoint, *answer) {
	now := time.Now()
	if c.remaining(now) <= 0 {
		a := refuse(reason.DeadlineExpired)
		return nil, &a
	}
	if c.isOrder() && f.orders.ledger != nil {
		return f.placeOrder(c, e)
	}
	if p := e.pick(c, tried, now); p != nil {
		return p, nil
	}
	a := refuse(reason.NoUpstream)
	return nil, &a
}

// placeOrder returns the endpoint on the node that owns the order's key. When
// that node has no upstream any more, the owners are read once again.
func (f *forwarder) placeOrder(c *call, e *entry) (*routing.Endpoint, *answer) {
	for range 2 {
		place := f.orders.ledger.Locate(c.service, c.key)
		if place.Node == "" {
			a := refuseAs(place.Reason, place.Effect, place.RetryAfter)
			return nil, &a
		}
		if p := e.onNode(place.Node); p != nil {
			return p, nil
		}
		f.orders.ledger.Moved(c.service)
	}
	a := refuse(reason.NoUpstream)
	return nil, &a
}

// try sends the call to one endpoint.
func (f *forwarder) try(c *call, e *entry, p *routing.Endpoint) (answer, func(error)) {
	c.upstream = p.Upstream
	start := time.Now()
	var a answer
	var done func(error)
	if p.Node == f.self {
		a, done = f.receiver.run(c)
	} else {
		a, done = f.hop(c, p)
	}
	took := time.Since(start)
	end := func(err error) {
		done(err)
		f.ended(c, e, p, &a, took, err)
	}
	if a.reply == nil || a.reply.Stream == nil {
		end(nil)
		return a, noop
	}
	return a, end
}

// ended takes in how a try ended.
func (f *forwarder) ended(c *call, e *entry, p *routing.Endpoint, a *answer, took time.Duration, err error) {
	switch e.done(p, c, a.load, judge(c, a, err), took, time.Now()) {
	case changeEjected:
		f.metrics.ejected.WithLabelValues(c.service).Inc()
		f.log.Emit(event.EndpointEjected, event.F("service", c.service), event.F("node", p.Node), event.F("upstream", p.Upstream), event.F("reason", a.reason))
	case changeBack:
		f.log.Emit(event.EndpointBack, event.F("service", c.service), event.F("node", p.Node), event.F("upstream", p.Upstream))
	}
}

// judge says what an answer tells about the endpoint's health. Refusals for
// load tell nothing, and neither do calls that asked for too little time.
func judge(c *call, a *answer, err error) verdict {
	switch a.reason {
	case "":
		if err != nil || !isGood(a) {
			return verdictBad
		}
		return verdictGood
	case reason.ConnectFailed, reason.ReplyBroken, reason.UpstreamError:
		return verdictBad
	case reason.DeadlineExceeded:
		if !c.impatient {
			return verdictBad
		}
	}
	return verdictNone
}

// hop sends the call to another node.
func (f *forwarder) hop(c *call, p *routing.Endpoint) (answer, func(error)) {
	hop := Hop{Depth: c.depth, Class: c.class, Service: c.service, Upstream: p.Upstream}
	c.header.Set(HeaderHop, hop.Encode(f.token))
	reply := &client.Reply{}
	failure := f.pool(p.Address).Do(c.ctx, c.request(time.Now()), reply)
	c.header.Del(HeaderHop)
	if failure != nil {
		return failureAnswer(failure), noop
	}
	return hopAnswer(reply), noop
}

// hopAnswer reads what the other node says of its answer. An answer without an
// effect does not come from a node's handler.
func hopAnswer(reply *client.Reply) answer {
	h := &reply.Header
	if len(h.Peek(reason.HeaderEffect)) == 0 {
		reply.Close()
		return refuse(reason.UpstreamError)
	}
	a := answer{
		reply:    reply,
		reason:   reason.Reason(h.Peek(reason.HeaderReason)),
		effect:   reason.Effect(h.Peek(reason.HeaderEffect)),
		replayed: len(h.Peek(reason.HeaderReplayed)) > 0,
		load:     string(h.Peek(HeaderLoad)),
	}
	if !a.failed() {
		return a
	}
	if len(h.Peek(reason.HeaderRetryAfter)) > 0 {
		a.retryAfter = parseRetryAfter(h.Peek(reason.HeaderRetryAfter))
		h.Del(reason.HeaderRetryAfter)
	}
	if a.reason != reason.Shed {
		// The refusal is written anew, as its effect may change with other tries.
		reply.Close()
		a.reply = nil
	}
	return a
}

// pool returns the connections to another node.
func (f *forwarder) pool(address string) *client.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[address]
	if !ok {
		p = client.NewPool(address, maxNodeConns)
		f.pools[address] = p
	}
	return p
}

// prune closes the connections to nodes that are no longer in the mesh.
func (f *forwarder) prune(v *membership.View) {
	known := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		if m.Status != membership.StatusLeft && !m.Stopping {
			known[m.InboundAddr] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, p := range f.pools {
		if !known[address] {
			p.Close()
			delete(f.pools, address)
		}
	}
}

// closePools closes the idle connections to other nodes.
func (f *forwarder) closePools() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.Close()
	}
}

// again decides whether a failed try is followed by another and counts it.
func (f *forwarder) again(c *call, e *entry, a *answer, number int) bool {
	if a.reason == reason.KeyUnowned && f.orders.ledger != nil {
		f.orders.ledger.Moved(c.service)
	}
	v := retry.Decide(retry.Try{
		Number:     number,
		Attempts:   c.attempts,
		Idempotent: c.idempotent && c.class != model.ClassOrder,
		Replayable: c.replayable(),
		Nested:     c.nested,
		Reason:     a.reason,
		Effect:     a.effect,
		Remaining:  c.remaining(time.Now()),
	})
	if isCancelled(c.ctx) || v == retry.Stop {
		return false
	}
	if v == retry.Paid && !e.take() {
		f.metrics.denied.WithLabelValues(string(c.class), string(a.reason)).Inc()
		return false
	}
	f.metrics.retries.WithLabelValues(string(c.class), string(a.reason)).Inc()
	return true
}
