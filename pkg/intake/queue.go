// Package intake controls the admission of requests to the upstream beside a node: which run
// now, which wait for a slot and which are refused. It also runs them.
//
// The decisions are in Queue, which has no clock and does no I/O: the time is an argument.
package intake

import (
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/fairshare"
)

// Reason tells why a request did not get a slot.
type Reason string

// The reasons of refusals.
const (
	// Displaced: a more urgent request came before it, and the answer would come too late to
	// be of use.
	Displaced Reason = "displaced"
	// NoSlot: no slot is free and the request may not wait.
	NoSlot Reason = "no-slot"
	// TooLate: the answer would come too late to be of use.
	TooLate Reason = "too-late"
	// Expired: the deadline can no longer be met after the wait.
	Expired Reason = "expired"
	// RateLimited: the answer would come too late to be of use, because the upstream limits
	// its requests a second.
	RateLimited Reason = "rate-limited"
	// LinkFull: the answer would wait too long for the host's link.
	LinkFull Reason = "link-full"
	// CallerGone: the caller cancelled the request.
	CallerGone Reason = "caller-gone"
	// UpstreamMalformed: the last answers of the upstream were malformed.
	UpstreamMalformed Reason = "upstream-garbled"
)

const (
	// smoothing is the weight of the newest answer in an exponential moving average.
	smoothing = 0.1
	// startMean is the assumed mean time of an answer before the first one.
	startMean = 100 * time.Millisecond
	// lowPriorityInterval is the inverse of the share of slot time that goes to less urgent
	// requests while urgent ones wait: they get one sixth, so that no priority starves.
	lowPriorityInterval = 6
	// aimFactor is the time that an answer needs to be in time, in mean times of its route,
	// counted from when its request gets a slot. Three of four answers take no longer.
	aimFactor = 1.3
	// deadlineFactor is the time that must be left before the deadline of a request that has
	// waited, in mean times of its route. It is below 1 because many answers take less than
	// the mean.
	deadlineFactor = 0.6
	// lateWaitFactor is the longest wait, in mean times of its route, of a request whose
	// answer would be late even if it ran at once. Requests that can be in time go first.
	lateWaitFactor = 0.5
	// dueFactor sets the order within a priority: a request is due this many mean times of its
	// route after its arrival. Short requests so overtake long ones that came shortly before.
	dueFactor = 4
	// staleMeanAfter is the time without an answer of a route after which its mean time is
	// halved when it alone rules a request out. Otherwise answers that once took long would
	// shut the route out for ever. The system must recover within a few seconds.
	staleMeanAfter = time.Second
	// overtakenRounds and overdueFactor decide when the answer of a running request counts as
	// lost. Requests that began later must have used their slots overtakenRounds times, and
	// overdueFactor mean times of the route must have passed. A slow upstream is slow for all
	// requests, so time alone would not tell a lost answer from a slow one.
	overtakenRounds = 1
	overdueFactor   = 2.5
	// minRetryAfter and maxRetryAfter limit the retry delay of refused callers.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Request holds what the queue knows of a request.
type Request struct {
	ID       uint64
	Route    string
	Priority int
	// Nested is set for a call that a request makes while it runs at another upstream. It goes
	// before new requests of its priority and may wait until its deadline: its caller does not
	// retry it, and if it fails, the work of its parent is lost. Its SoftDeadline is that of its
	// parent.
	Nested bool
	// Organisation is the name of the organisation that the request belongs to, empty without
	// one, and Weight its share relative to other organisations, 0 for equal shares.
	Organisation string
	Weight       float64
	// Expected is the estimated time in a slot, 0 if it is not known.
	Expected time.Duration
	// MayWait allows the request to wait for a slot.
	MayWait bool
	// SoftDeadline is the time after which the answer is late for its caller, and Deadline the time
	// after which it is useless.
	SoftDeadline time.Time
	Deadline     time.Time
	// LinkWait is how long a large answer waits for the host's link, and Transfer how long its
	// transfer takes.
	LinkWait, Transfer time.Duration
	// Body describes a body that is not received yet, nil without one.
	Body *Body
}

// linkTime returns the time from the end of the work to the end of the transfer.
func (r *Request) linkTime() time.Duration { return r.LinkWait + r.Transfer }

// Decision is the decision on an arriving request: it runs, waits or is refused.
type Decision struct {
	// Run: the request holds a slot until Done is called.
	Run bool
	// Wait: the request waits until Next returns a grant for it or Cancel removes it.
	Wait bool
	// Reason and RetryAfter are set for refused requests.
	Reason     Reason
	RetryAfter time.Duration
	// HalvedMean is the new mean time of the route if this decision halved it, else 0. See
	// staleMeanAfter.
	HalvedMean time.Duration
}

// Grant ends the wait of a request, with a slot or with a refusal.
type Grant struct {
	ID uint64
	// Reason is empty for a request that holds a slot now.
	Reason     Reason
	RetryAfter time.Duration
}

// waiting is a request that waits for a slot.
type waiting struct {
	Request
	arrived time.Time
	// due orders the requests of a priority: short ones first, but each one moves up with
	// time.
	due time.Time
	// late is set if the answer could not be in time even when the request arrived.
	late bool
	// starved is set if the route or the organisation is served far less often than the others.
	starved bool
	// excess is how far the organisation was above its share when the request arrived.
	excess float64
	// receivedAt is when the body was complete, if it came after the request was let in, else zero.
	receivedAt time.Time
}

// before reports whether w gets a slot before x, which came after it. Starved routes go first,
// then the more urgent priority, then nested calls, then requests that can be in time, then
// those of organisations that are the least above their share, then those due earlier.
func (w *waiting) before(x *waiting) bool {
	switch {
	case w.starved != x.starved:
		return w.starved
	case w.Priority != x.Priority:
		return w.Priority < x.Priority
	case w.Nested != x.Nested:
		return w.Nested
	case w.late || x.late:
		return !w.late || x.late
	case w.excess != x.excess && !w.Nested:
		return w.excess < x.excess
	}
	return !w.due.After(x.due)
}

// routeMean is the moving average of the answer times of a route, and when it last changed.
type routeMean struct {
	time.Duration
	changed time.Time
}

// started is a request that holds a slot.
type started struct {
	at    time.Time
	route string
	// organisation is charged with the time in the slot. expected is what it was charged with
	// at the start.
	organisation fairshare.Organisation
	expected     time.Duration
	// work is the estimated time in the slot.
	work     time.Duration
	deadline time.Time
	// over is set if more requests than slots were in use with this one.
	over bool
	// overtaken counts the requests that began later and have ended successfully.
	overtaken int
}

// Queue holds the running and waiting requests of one upstream. It is not safe for concurrent
// use.
type Queue struct {
	slots   int
	running map[uint64]*started
	waiting []waiting // in the order in which they get a slot
	means   map[string]routeMean
	shares  RouteShares
	// organisations is used only for requests that have one.
	organisations fairshare.Shares
	mean          time.Duration
	// limiter bounds the requests that start a second. It is nil without a limit.
	limiter *rate.Limiter
	starts  startShares
	// bodySlots is how long requests waited for a slot after their body was complete.
	bodySlots slotWait
	// lowPriorityCredit is the slot time that less urgent requests have earned while urgent
	// ones got the slots. See lowPriorityInterval.
	lowPriorityCredit time.Duration
	// hangs learns whether the upstream leaves requests unanswered when it is full.
	hangs hangs
	// displaced holds the refusals of requests that gave way, until Next returns them.
	displaced []Grant
}

// NewQueue returns an empty queue for an upstream with the given slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(1, slots), running: make(map[uint64]*started), means: make(map[string]routeMean), mean: startMean}
}

// SetSlots changes the number of slots. Running requests keep theirs.
func (q *Queue) SetSlots(slots int) { q.slots = max(1, slots) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// occupied counts the slots that are taken. A request whose answer is probably lost, as many
// requests that began later have ended, doesn't count. If it does still run, the next request
// waits at the upstream. At an upstream that was found to hang when it is full, all count.
func (q *Queue) occupied(now time.Time) int {
	if q.hangs.hangsWhenFull(now) {
		return len(q.running)
	}
	n := 0
	for _, s := range q.running {
		if now.Sub(s.at) < q.scaledMean(s.route, overdueFactor) || s.overtaken < overtakenRounds*q.startedLater(s) {
			n++
		}
	}
	return n
}

// startedLater counts the requests that hold a slot and began after s, but returns at least 1.
func (q *Queue) startedLater(s *started) int {
	n := 0
	for _, other := range q.running {
		if other.at.After(s.at) {
			n++
		}
	}
	return max(1, n)
}

// start gives a slot to a request and counts it against the limit.
func (q *Queue) start(now time.Time, r *Request) {
	if q.limiter != nil {
		q.limiter.AllowN(now, 1)
	}
	q.starts.count(r.Priority)
	q.shares.Served(r.Route)
	q.running[r.ID] = &started{at: now, route: r.Route, organisation: r.organisation(), expected: q.scaledMean(r.Route, 1),
		work: q.expectedWork(r), deadline: r.Deadline, over: len(q.running) >= q.slots}
	q.chargeStart(r)
}

// Queued returns the number of requests that wait.
func (q *Queue) Queued() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Mean returns the moving average of the answer times of all routes.
func (q *Queue) Mean() time.Duration { return q.mean }

// RouteMean returns the moving average of the answer times of a route.
func (q *Queue) RouteMean(route string) time.Duration { return q.scaledMean(route, 1) }

// Arrive decides whether a new request runs, waits or is refused. After one that waits, Next
// returns the refusals of those that it displaced.
func (q *Queue) Arrive(now time.Time, r Request) Decision {
	q.shares.Asked(now, r.Route)
	if r.Organisation != "" {
		q.organisations.Asked(now, r.organisation(), r.Weight)
	}
	if q.linkIsFull(now, &r) {
		return Decision{Reason: LinkFull, RetryAfter: min(q.retryDelay(r.LinkWait), max(minRetryAfter, r.SoftDeadline.Sub(now)/2))}
	}
	if r.Body == nil && !q.hasReady() && q.canStart(now) {
		q.start(now, &r)
		return Decision{Run: true}
	}
	w := waiting{
		Request: r,
		arrived: now,
		due:     now.Add(q.scaledMean(r.Route, dueFactor)),
		late:    now.Add(q.scaledMean(r.Route, aimFactor) + r.linkTime() + r.bodyTransfer()).After(earlier(r.SoftDeadline, r.Deadline)),
		starved: (q.shares.Starved(r.Route) || q.organisations.Starved(r.organisation())) && !q.starvedWaits(),
		excess:  q.excess(&r),
	}
	if r.Nested {
		// The call of the parent that must be answered first goes first. Later calls of a
		// parent so go before first calls, for which less work has been done.
		w.due = r.SoftDeadline
	}
	slotWait, limitWait := q.estimateWait(&w), q.limitWait(now, &w)
	wait := max(slotWait, limitWait)
	if r.Body != nil {
		if v, refused := q.refuseBody(now, &w, wait); refused {
			return v
		}
	} else if !r.MayWait {
		return Decision{Reason: NoSlot, RetryAfter: q.retryDelay(wait)}
	}
	if r.Body == nil && !q.mayWait(now, &w, wait) {
		v := Decision{Reason: TooLate, RetryAfter: q.refusedRetryDelay(now, &w, wait)}
		if limitWait > slotWait {
			v.Reason = RateLimited
		}
		if w.late {
			v.HalvedMean = q.halveStaleMean(now, r.Route)
		}
		return v
	}
	i := sort.Search(len(q.waiting), func(i int) bool { return !q.waiting[i].before(&w) })
	q.waiting = append(q.waiting, waiting{})
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
	q.displace(now, i)
	return Decision{Wait: true}
}

// starvedWaits reports whether a request of a starved route waits already. Further ones don't
// go before the others, or they would crowd out more urgent requests.
func (q *Queue) starvedWaits() bool { return len(q.waiting) > 0 && q.waiting[0].starved }

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// halveStaleMean halves the mean time of a route without an answer in staleMeanAfter, and
// returns the new mean time, or 0 if it didn't change.
func (q *Queue) halveStaleMean(now time.Time, route string) time.Duration {
	m, known := q.means[route]
	if !known || now.Sub(m.changed) < staleMeanAfter {
		return 0
	}
	q.means[route] = routeMean{m.Duration / 2, now}
	return m.Duration / 2
}

// scaledMean returns the mean time of a route multiplied by factor. A route without an answer
// gets the mean of all routes.
func (q *Queue) scaledMean(route string, factor float64) time.Duration {
	mean := q.mean
	if m, known := q.means[route]; known {
		mean = m.Duration
	}
	return time.Duration(factor * float64(mean))
}

// Done ends a request that held a slot. Its time counts for the mean times only if ok is set.
func (q *Queue) Done(now time.Time, id uint64, ok bool) {
	s := q.running[id]
	delete(q.running, id)
	q.chargeEnd(now, s)
	q.recordHang(now, s, ok)
	if !ok {
		return
	}
	for _, other := range q.running {
		if other.at.Before(s.at) {
			other.overtaken++
		}
	}
	took, route := now.Sub(s.at), s.route
	q.mean += time.Duration(smoothing * float64(took-q.mean))
	if m, known := q.means[route]; known {
		took = m.Duration + time.Duration(smoothing*float64(took-m.Duration))
	}
	q.means[route] = routeMean{took, now}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for i, w := range q.waiting {
		if w.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next appends to grants the waiting requests that get a slot now, and a refusal for those
// that can no longer be answered before their deadline.
func (q *Queue) Next(now time.Time, grants []Grant) []Grant {
	grants = append(grants, q.displaced...)
	q.displaced = q.displaced[:0]
	kept := q.waiting[:0]
	callFactor := q.nestedFactor()
	for _, w := range q.waiting {
		factor := deadlineFactor
		if w.Nested {
			factor = callFactor
		}
		if now.Add(q.scaledMean(w.Route, factor) + w.bodyLeft(now)).After(w.Deadline) {
			grants = append(grants, Grant{ID: w.ID, Reason: Expired, RetryAfter: minRetryAfter})
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	for q.hasReady() && q.canStart(now) {
		i := q.choose()
		w := q.waiting[i]
		grants = append(grants, Grant{ID: w.ID})
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.bodySlots.started(now, &w)
		q.start(now, &w.Request)
	}
	return grants
}

// choose returns the index of the waiting request that gets the next slot. It is the first whose
// body is complete, or the oldest of the less urgent ones if lowPriorityCredit covers its mean time.
// One with a complete body must wait.
func (q *Queue) choose() int {
	ready := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.Body == nil })
	first := &q.waiting[ready]
	oldest := 0
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.Priority <= first.Priority || w.Body != nil {
			continue
		}
		if oldest == 0 || w.beforeAmongLessUrgent(&q.waiting[oldest]) {
			oldest = i
		}
	}
	if oldest == 0 {
		q.lowPriorityCredit = 0
		return ready
	}
	if need := q.scaledMean(q.waiting[oldest].Route, 1); q.lowPriorityCredit >= need {
		q.lowPriorityCredit -= need
		return oldest
	}
	q.lowPriorityCredit += q.scaledMean(first.Route, 1) / (lowPriorityInterval - 1)
	return ready
}

// beforeAmongLessUrgent reports whether w gets the turn of the less urgent requests before x:
// nested calls first, then those of organisations that are the least above their share, then
// the oldest.
func (w *waiting) beforeAmongLessUrgent(x *waiting) bool {
	switch {
	case w.Nested != x.Nested:
		return w.Nested
	case w.excess != x.excess && !w.Nested:
		return w.excess < x.excess
	}
	return w.arrived.Before(x.arrived)
}

// Flush appends to grants a refusal of every waiting request, and empties the queue.
func (q *Queue) Flush(reason Reason, grants []Grant) []Grant {
	grants = append(grants, q.displaced...)
	q.displaced = q.displaced[:0]
	for _, w := range q.waiting {
		grants = append(grants, Grant{ID: w.ID, Reason: reason, RetryAfter: minRetryAfter})
	}
	q.waiting = q.waiting[:0]
	return grants
}
