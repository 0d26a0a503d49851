// Package intake decides which requests the upstream beside a node runs now,
// which wait for a slot and which are refused, and runs them.
//
// The decisions are in Queue, which is pure: the time is an argument.
package intake

import (
	"sort"
	"time"
)

// Reason says why a request did not get a slot.
type Reason string

// The reasons of refusals.
const (
	// Full: no slot is free and the request may not wait.
	Full Reason = "no-slot"
	// TooLate: the request would end after the time in which it is of use.
	TooLate Reason = "too-late"
	// Expired: the request's time ended while it waited.
	Expired Reason = "expired"
	// LinkFull: the answer would wait too long for the host's link.
	LinkFull Reason = "link-full"
	// CallerGone: the caller gave the request up.
	CallerGone Reason = "caller-gone"
	// Garbled: what the upstream sends lately is no answer.
	Garbled Reason = "upstream-garbled"
)

const (
	// smoothing is the weight of the newest time in a mean.
	smoothing = 0.1
	// startMean is the mean time of an answer before any was measured.
	startMean = 100 * time.Millisecond
	// turn is the part of the slots' time, one in so many, that goes to less urgent
	// requests while urgent ones wait, so that no kind of request starves.
	turn = 6
	// aimNeed is how many mean times of its route a request has to have left when it
	// gets a slot, so that its answer is in time: three of four take no longer.
	aimNeed = 1.3
	// lastNeed is the same for an answer before the deadline, when the request has
	// waited already: work times spread, and many take less than the mean.
	lastNeed = 0.6
	// lateWait is how many mean times of its route a request may wait whose answer
	// would be late even if it ran at once: those that can be in time go first.
	lateWait = 0.5
	// shortFirst is how many mean times of its route a request is put behind others
	// of its rank: a short one overtakes those that came shortly before it.
	shortFirst = 4
	// forgetAfter is the time without an answer of a route after which its mean time
	// is halved when it rules a request out: answers that took long once would
	// otherwise shut out a route for ever. Recovery is due within some seconds.
	forgetAfter = time.Second
	// overtakenRounds is how many times the slots of the requests that began later
	// have to be used before an answer counts as lost, and overdueAfter how many mean
	// times of its route have to pass. A slow upstream is slow for all of them.
	overtakenRounds = 1
	overdueAfter    = 2.5
	// minRetryAfter and maxRetryAfter bound the advice when to come back.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Request is what the queue has to know of a request.
type Request struct {
	ID       uint64
	Route    string
	Priority int
	// MayWait lets the request wait for a slot.
	MayWait bool
	// Aim is when the answer is late for its caller, Deadline when it is of no use.
	Aim      time.Time
	Deadline time.Time
	// Link is how long a large answer waits for the host's link, and Transfer how long
	// it takes on it.
	Link, Transfer time.Duration
}

// carry returns how long the answer takes after it is made.
func (r *Request) carry() time.Duration { return r.Link + r.Transfer }

// Verdict is the answer to an arriving request.
type Verdict struct {
	// Run: the request holds a slot until Done.
	Run bool
	// Wait: the request waits until Next or Cancel names it.
	Wait bool
	// Reason and RetryAfter are set for refused requests.
	Reason     Reason
	RetryAfter time.Duration
	// Halved is the new mean time of the route where it was halved, as it alone ruled
	// the request out.
	Halved time.Duration
}

// Grant ends the wait of a request.
type Grant struct {
	ID uint64
	// Reason is empty for a request that holds a slot now.
	Reason     Reason
	RetryAfter time.Duration
}

type waiting struct {
	Request
	arrived time.Time
	// due orders requests of a rank: short ones first, but none for ever.
	due time.Time
	// late tells that the answer could not be in time when the request arrived.
	late bool
	// starved tells that the route is served far less often than the others.
	starved bool
}

// before reports whether w gets a slot before x, which came after it.
func (w *waiting) before(x *waiting) bool {
	switch {
	case w.starved != x.starved:
		return w.starved
	case w.Priority != x.Priority:
		return w.Priority < x.Priority
	case w.late || x.late:
		return !w.late || x.late
	}
	return !w.due.After(x.due)
}

// routeMean is the mean time of a route's answers, and when it last changed.
type routeMean struct {
	time.Duration
	changed time.Time
}

// started is a request that holds a slot.
type started struct {
	at    time.Time
	route string
	// overtaken counts the requests that began later and ended well.
	overtaken int
}

// Queue holds the requests of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running map[uint64]*started
	waiting []waiting // in the order in which they get a slot
	means   map[string]routeMean
	shares  Shares
	mean    time.Duration
	// owed is the time of a slot that the less urgent requests may have by now.
	owed time.Duration
}

// NewQueue returns an empty queue for an upstream with the given slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(1, slots), running: make(map[uint64]*started), means: make(map[string]routeMean), mean: startMean}
}

// SetSlots changes the number of slots. Requests that run stay.
func (q *Queue) SetSlots(slots int) { q.slots = max(1, slots) }

// Running counts the requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// occupied counts the slots that are taken. A request has probably ended with its
// answer lost when many that began later have ended, and then does not count. If
// it still runs, the next one waits at the upstream.
func (q *Queue) occupied(now time.Time) int {
	n := 0
	for _, s := range q.running {
		if now.Sub(s.at) < q.needOf(s.route, overdueAfter) || s.overtaken < overtakenRounds*q.younger(s) {
			n++
		}
	}
	return n
}

// younger counts the requests that hold a slot and began after s, at least 1.
func (q *Queue) younger(s *started) int {
	n := 0
	for _, other := range q.running {
		if other.at.After(s.at) {
			n++
		}
	}
	return max(1, n)
}

func (q *Queue) start(now time.Time, id uint64, route string) {
	q.shares.Served(route)
	q.running[id] = &started{at: now, route: route}
}

// Queued counts the requests that wait.
func (q *Queue) Queued() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Mean returns the mean time of the newest answers.
func (q *Queue) Mean() time.Duration { return q.mean }

// RouteMean returns the mean time of the newest answers of a route.
func (q *Queue) RouteMean(route string) time.Duration { return q.needOf(route, 1) }

// Arrive decides on a new request.
func (q *Queue) Arrive(now time.Time, r Request) Verdict {
	q.shares.Asked(now, r.Route)
	if q.linkIsFull(now, &r) {
		return Verdict{Reason: LinkFull, RetryAfter: min(q.advice(r.Link), max(minRetryAfter, r.Aim.Sub(now)/2))}
	}
	if q.occupied(now) < q.slots && len(q.waiting) == 0 {
		q.start(now, r.ID, r.Route)
		return Verdict{Run: true}
	}
	w := waiting{
		Request: r,
		arrived: now,
		due:     now.Add(q.needOf(r.Route, shortFirst)),
		late:    now.Add(q.needOf(r.Route, aimNeed) + r.carry()).After(earlier(r.Aim, r.Deadline)),
		starved: q.shares.Starved(r.Route) && !q.starvedWaits(),
	}
	wait := q.estimate(&w)
	if !r.MayWait {
		return Verdict{Reason: Full, RetryAfter: q.advice(wait)}
	}
	if !q.mayWait(now, &w, wait) {
		v := Verdict{Reason: TooLate, RetryAfter: min(q.advice(wait), q.spare(now, &w))}
		if w.late {
			v.RetryAfter = q.lateAdvice(now, &w)
			v.Halved = q.forget(now, r.Route)
		}
		return v
	}
	i := sort.Search(len(q.waiting), func(i int) bool { return !q.waiting[i].before(&w) })
	q.waiting = append(q.waiting, waiting{})
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
	return Verdict{Wait: true}
}

// starvedWaits reports whether a request of a starved route waits. Further ones do
// not go before the others, or they would crowd out what is more urgent.
func (q *Queue) starvedWaits() bool { return len(q.waiting) > 0 && q.waiting[0].starved }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// forget halves the mean time of a route that has brought no answer lately, and
// returns the new one, 0 where it stays.
func (q *Queue) forget(now time.Time, route string) time.Duration {
	m, known := q.means[route]
	if !known || now.Sub(m.changed) < forgetAfter {
		return 0
	}
	q.means[route] = routeMean{m.Duration / 2, now}
	return m.Duration / 2
}

func (q *Queue) needOf(route string, share float64) time.Duration {
	mean := q.mean
	if m, known := q.means[route]; known {
		mean = m.Duration
	}
	return time.Duration(share * float64(mean))
}

// Done ends a request that held a slot. The time it took counts for the means if
// ok.
func (q *Queue) Done(now time.Time, id uint64, ok bool) {
	s := q.running[id]
	delete(q.running, id)
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

// Cancel removes a waiting request and reports whether it waited.
func (q *Queue) Cancel(id uint64) bool {
	for i, w := range q.waiting {
		if w.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next appends to grants the waiting requests that get a slot now and those
// that can no longer end before their deadline.
func (q *Queue) Next(now time.Time, grants []Grant) []Grant {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if now.Add(q.needOf(w.Route, lastNeed)).After(w.Deadline) {
			grants = append(grants, Grant{ID: w.ID, Reason: Expired, RetryAfter: minRetryAfter})
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	for len(q.waiting) > 0 && q.occupied(now) < q.slots {
		i := q.choose()
		w := q.waiting[i]
		grants = append(grants, Grant{ID: w.ID})
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.start(now, w.ID, w.Route)
	}
	return grants
}

// choose returns the index of the waiting request that gets the next slot: the
// first, or the oldest of the less urgent ones when its time is owed to them.
func (q *Queue) choose() int {
	first := &q.waiting[0]
	oldest := 0
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.Priority <= first.Priority {
			continue
		}
		if oldest == 0 || w.arrived.Before(q.waiting[oldest].arrived) {
			oldest = i
		}
	}
	if oldest == 0 {
		q.owed = 0
		return 0
	}
	if need := q.needOf(q.waiting[oldest].Route, 1); q.owed >= need {
		q.owed -= need
		return oldest
	}
	q.owed += q.needOf(first.Route, 1) / (turn - 1)
	return 0
}

// Flush refuses every waiting request.
func (q *Queue) Flush(reason Reason, grants []Grant) []Grant {
	for _, w := range q.waiting {
		grants = append(grants, Grant{ID: w.ID, Reason: reason, RetryAfter: minRetryAfter})
	}
	q.waiting = q.waiting[:0]
	return grants
}
