package reason

import "time"

// Entry says what one reason means to callers and operators.
type Entry struct {
	Reason Reason
	// Status is the HTTP status of a refusal with this reason.
	Status int
	// Effect is what the reason says about the call when nothing else is known.
	Effect Effect
	// RetryAfter is when a caller may come back; zero means that coming back
	// does not help.
	RetryAfter time.Duration
	Meaning    string
	Action     string
}

// comeBack is the shortest advice of Retry-After, which counts whole seconds.
const comeBack = time.Second

// Catalogue returns every reason in a fixed order.
func Catalogue() []Entry { return catalogue }

// Lookup returns the entry of r. An unknown reason is an upstream error with
// unknown effect.
func Lookup(r Reason) Entry {
	if e, ok := byReason[r]; ok {
		return e
	}
	return Entry{Reason: r, Status: 502, Effect: Unknown}
}

var byReason = index()

func index() map[Reason]Entry {
	m := make(map[Reason]Entry, len(catalogue))
	for _, e := range catalogue {
		m[e.Reason] = e
	}
	return m
}

var catalogue = []Entry{
	{NoBundle, 503, NotRun, comeBack, "the node has not applied any bundle yet", "Check that the node reaches the platform or its peers; see the roll-out status."},
	{NoRoute, 404, NotRun, 0, "no route of the bundle in force matches host, method and path", "Correct the request, or add the route to the bundle."},
	{NoUpstream, 503, NotRun, comeBack, "no upstream of the service can take the call", "Look at the upstreams of the service: all may be leaving, ejected or not announced."},
	{NodeStopping, 503, NotRun, comeBack, "the node stops gracefully and takes no new calls", "Nothing during a planned stop; the sending node tries another node."},
	{UpstreamLeaving, 503, NotRun, comeBack, "the upstream drains and takes no new calls", "Nothing during a planned stop; the sending node tries another upstream."},
	{UpstreamUnknown, 503, NotRun, comeBack, "the node has no such upstream; the sender's view was old", "Look at the membership if it goes on for more than a few seconds."},
	{ConnectFailed, 503, NotRun, comeBack, "no connection could be opened, so nothing was sent", "Check that the upstream or node runs and listens at its announced address."},
	{QueueFull, 503, NotRun, comeBack, "the queue of the class is full on the upstream", "Add instances, or lower the load of the class; compare the load with the announced slots."},
	{QueueTimeout, 503, NotRun, comeBack, "the call would not have got a slot and an answer before its deadline", "Add instances, or give the call more time; look for slow answers of the upstream."},
	{Shed, 503, Unknown, comeBack, "the upstream itself turned the call away", "The effect is not-run only if the upstream says so; check its announced slots."},
	{DeadlineExpired, 504, NotRun, 0, "the deadline had passed before the call was sent", "Give the call more time, or look for delays in front of the node."},
	{DeadlineExceeded, 504, Unknown, 0, "the deadline passed while the upstream was running the call", "Look at the latency of the upstream; compare it with the timeout of the route."},
	{CallerGone, 499, Unknown, 0, "the caller closed its connection before the answer", "Nothing, unless many callers give up: then the service is too slow for them."},
	{ReplyBroken, 502, Unknown, 0, "the connection broke before the whole answer arrived", "Look for a crash of the upstream; its node logs it."},
	{UpstreamError, 502, Unknown, 0, "the upstream sent something that is not an HTTP answer", "Look at the log of the upstream."},
	{BodyTooLarge, 413, NotRun, 0, "the body is over the bound of the listener or service", "Send less, or raise maxBodyBytes of the service."},
	{BadRequest, 400, NotRun, 0, "the request or one of its headers is malformed", "Correct the request."},
	{LoopDetected, 508, NotRun, 0, "the call passed through too many nodes or services", "Look for services that call each other in a circle."},
	{RetryBudget, 503, Unknown, comeBack, "a retry was due, but the service's share of retries is used up; the answer names the reason of the failed try", "Many calls of the service fail: look at its upstreams, not at the budget."},
	{Poison, 422, NotRun, 0, "calls like this one crashed upstreams and are quarantined", "Look at the call and the crash; lift the quarantine when it is mended."},
	{KeyMissing, 400, NotRun, 0, "the order has no Idempotency-Key where one is required", "Send the header with every order."},
	{KeyMalformed, 400, NotRun, 0, "the Idempotency-Key cannot be read", "Send a key of the documented form."},
	{KeyReused, 422, NotRun, 0, "the key was used before with another request", "Use a new key for a new order."},
	{KeyInProgress, 409, Unknown, comeBack, "an order with this key is running now", "Ask again later with the same key."},
	{KeyOutcome, 409, Unknown, 0, "an order with this key may have run and its answer is lost", "Find out at the service whether the order exists before sending a new one."},
	{KeyExpired, 410, Unknown, 0, "the key is too old to be told from one that ran", "Use a new key if the order is known not to exist."},
	{KeyUnowned, 503, NotRun, comeBack, "no node may run orders with this key at the moment", "A caller may use a new key; see the notes on orders during outages."},
	{KeyStoreFull, 503, NotRun, comeBack, "the node remembers as many orders as it may", "Look at the rate of orders and the life of their records."},
	{PlatformDown, 503, NotRun, comeBack, "the platform is needed for this order and cannot be reached", "Restore the platform; orders with a birth-timed key go on for longer."},
}
