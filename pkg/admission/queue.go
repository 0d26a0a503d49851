// Package admission decides which calls an upstream runs now, which wait for a
// slot and which are refused as not run. It is pure: the time of day is an
// argument, and grants come back as values.
//
// Interactive calls and orders go first in order of arrival. Batch and internal
// calls can never hold the slots reserved for callers, but each gets a share of
// the grants, so that neither starves.
package admission

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// Verdict says what happens to a call.
type Verdict string

// The verdicts.
const (
	// Admitted: the call holds a slot until Done.
	Admitted Verdict = "admitted"
	// Queued: the call waits for a grant.
	Queued Verdict = "queued"
	// Refused: the call does not run.
	Refused Verdict = "refused"
)

// Decision is the answer to an arriving call.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set for refused calls.
	Reason     reason.Reason
	RetryAfter time.Duration
	// LookAt is the time at which Next must be called for a queued call at the
	// latest, so that it is refused as soon as waiting is of no use.
	LookAt time.Time
}

// Config bounds a queue.
type Config struct {
	// Slots and Connections are those that the upstream announced.
	Slots       int
	Connections int
	// Waiting is the number of calls of each class that may wait.
	Waiting func(model.Class) int
}

// Load is what an upstream is doing.
type Load struct {
	Running int
	Queued  int
	// Limit is the number of calls that may run at the same time now.
	Limit int
	// Failed is the number of failed calls in a row. The queue leaves it zero.
	Failed int
}

// Event is the end of a call's wait.
type Event struct {
	ID uint64
	// Granted calls hold a slot; the others are refused with Reason.
	Granted    bool
	Reason     reason.Reason
	RetryAfter time.Duration
}

const (
	numClasses = 4
	// turn is the number of grants in a row after which a waiting call of
	// another kind gets the next one.
	turn = 8
	// optimism is the share of the mean service time that a call needs at least;
	// a call with less time left is not started.
	optimism = 0.5
	// smoothing is the weight of the newest service time in the mean.
	smoothing = 0.1
	// stallFactor is the number of mean service times without any answer after
	// which a full upstream counts as stalled, and minStall the shortest such time.
	stallFactor = 10
	minStall    = 250 * time.Millisecond
	// unknownStall is used for classes of which no call has ended yet.
	unknownStall = 5 * time.Second
	// minRetryAfter is the shortest advice to come back later.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest one.
	maxRetryAfter = 30 * time.Second
)

const (
	interactive = iota
	order
	batch
	internal
)

func indexOf(c model.Class) int {
	switch c {
	case model.ClassOrder:
		return order
	case model.ClassBatch:
		return batch
	case model.ClassInternal:
		return internal
	}
	return interactive
}

type waiter struct {
	id       uint64
	arrived  time.Time
	deadline time.Time
}

// Queue holds the calls of one upstream. It is not safe for concurrent use.
type Queue struct {
	config  Config
	limit   *Limit
	running [numClasses]int
	waiting [numClasses][]waiter
	mean    [numClasses]time.Duration
	// passed counts the grants to others since the last grant of a class that
	// had a call waiting.
	passed [numClasses]int
	// progress is the last time at which a call ended or a slot was free.
	progress time.Time
}

// NewQueue returns an empty queue.
func NewQueue(c Config) *Queue {
	return &Queue{config: c, limit: NewLimit(c.Slots, c.Connections)}
}

// Configure changes the bounds. Calls that run or wait stay.
func (q *Queue) Configure(c Config) {
	if c.Slots != q.config.Slots || c.Connections != q.config.Connections {
		q.limit = NewLimit(c.Slots, c.Connections)
	}
	q.config = c
}

// Load returns what the upstream is doing.
func (q *Queue) Load() Load {
	return Load{Running: q.total(), Queued: q.queued(), Limit: q.limit.Current()}
}

// Arrive decides on a new call. A queued call keeps its id until Next reports
// it or Cancel removes it.
func (q *Queue) Arrive(now time.Time, id uint64, class model.Class, deadline time.Time) Decision {
	c := indexOf(class)
	need := q.need(c)
	if !deadline.After(now.Add(need)) {
		if !deadline.After(now) {
			return Decision{Verdict: Refused, Reason: reason.DeadlineExpired}
		}
		return Decision{Verdict: Refused, Reason: reason.QueueTimeout}
	}
	if q.startsAtOnce(c) {
		q.running[c]++
		q.progress = now
		return Decision{Verdict: Admitted}
	}
	wait := q.estimate(c)
	if q.stalled(now) {
		return Decision{Verdict: Refused, Reason: reason.QueueTimeout, RetryAfter: advice(wait)}
	}
	if len(q.waiting[c]) >= q.config.Waiting(class) {
		return Decision{Verdict: Refused, Reason: reason.QueueFull, RetryAfter: advice(wait)}
	}
	if now.Add(wait + need).After(deadline) {
		return Decision{Verdict: Refused, Reason: reason.QueueTimeout, RetryAfter: advice(wait)}
	}
	w := waiter{id: id, arrived: now, deadline: deadline}
	q.waiting[c] = append(q.waiting[c], w)
	return Decision{Verdict: Queued, LookAt: q.lookAt(now, c, w)}
}

// LookAt returns the time of the next look at a waiting call, and false if the
// call does not wait.
func (q *Queue) LookAt(now time.Time, id uint64) (time.Time, bool) {
	for c := range q.waiting {
		for _, w := range q.waiting[c] {
			if w.id == id {
				return q.lookAt(now, c, w), true
			}
		}
	}
	return time.Time{}, false
}

// lookAt returns the earlier of the times at which the call can no longer make
// its deadline and at which the upstream may count as stalled.
func (q *Queue) lookAt(now time.Time, c int, w waiter) time.Time {
	hopeless := w.deadline.Add(-q.need(c))
	stall := q.progress.Add(q.stallAfter())
	if stall.Before(now) {
		stall = now.Add(minStall)
	}
	if stall.Before(hopeless) {
		return stall
	}
	return hopeless
}

// Done ends a call that held a slot. took is the time that the upstream needed.
func (q *Queue) Done(now time.Time, class model.Class, took time.Duration, o Outcome) {
	c := indexOf(class)
	saturated := q.total() >= q.limit.Current() || q.queued() > 0
	q.running[c]--
	q.progress = now
	if o == OutcomeOK {
		q.observe(c, took)
	}
	q.limit.Observe(now, Sample{Class: c, Took: took, Outcome: o, Saturated: saturated})
}

// Cancel removes a waiting call whose caller has gone and reports whether it
// was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for c := range q.waiting {
		for i, w := range q.waiting[c] {
			if w.id == id {
				q.waiting[c] = append(q.waiting[c][:i], q.waiting[c][i+1:]...)
				return true
			}
		}
	}
	return false
}

// Next appends to events every waiting call that starts now or can no longer
// make its deadline.
func (q *Queue) Next(now time.Time, events []Event) []Event {
	if q.stalled(now) {
		return q.Flush(reason.QueueTimeout, events)
	}
	for c := range q.waiting {
		events = q.expire(now, c, events)
	}
	for {
		c, ok := q.choose()
		if !ok {
			return events
		}
		w := q.waiting[c][0]
		q.waiting[c] = q.waiting[c][1:]
		q.running[c]++
		q.countGrant(c)
		events = append(events, Event{ID: w.id, Granted: true})
	}
}

// Flush refuses every waiting call with reason r.
func (q *Queue) Flush(r reason.Reason, events []Event) []Event {
	for c := range q.waiting {
		for _, w := range q.waiting[c] {
			events = append(events, Event{ID: w.id, Reason: r, RetryAfter: minRetryAfter})
		}
		q.waiting[c] = nil
	}
	return events
}

// expire drops the calls of class c that would end after their deadline.
func (q *Queue) expire(now time.Time, c int, events []Event) []Event {
	need := q.need(c)
	kept := q.waiting[c][:0]
	for _, w := range q.waiting[c] {
		if w.deadline.After(now.Add(need)) {
			kept = append(kept, w)
			continue
		}
		events = append(events, Event{ID: w.id, Reason: reason.QueueTimeout, RetryAfter: advice(q.estimate(c))})
	}
	q.waiting[c] = kept
	return events
}

// choose returns the class whose first waiting call starts next.
func (q *Queue) choose() (int, bool) {
	for _, c := range [...]int{batch, internal} {
		if q.passed[c] >= turn && q.canStart(c) {
			return c, true
		}
	}
	if c, ok := q.earlier(interactive, order); ok {
		return c, true
	}
	return q.earlier(batch, internal)
}

// earlier returns the class whose first call arrived first.
func (q *Queue) earlier(a, b int) (int, bool) {
	okA, okB := q.canStart(a), q.canStart(b)
	switch {
	case okA && okB && q.waiting[b][0].arrived.Before(q.waiting[a][0].arrived):
		return b, true
	case okA:
		return a, true
	}
	return b, okB
}

func (q *Queue) canStart(c int) bool { return len(q.waiting[c]) > 0 && q.fits(c) }

// countGrant notes that class c got a slot while others were waiting.
func (q *Queue) countGrant(c int) {
	q.passed[c] = 0
	for other := range q.waiting {
		if other != c && len(q.waiting[other]) > 0 {
			q.passed[other]++
		}
	}
}

// startsAtOnce reports whether a new call of class c overtakes nobody.
func (q *Queue) startsAtOnce(c int) bool {
	if !q.fits(c) || len(q.waiting[c]) > 0 {
		return false
	}
	return len(q.waiting[interactive]) == 0 && len(q.waiting[order]) == 0
}

// fits reports whether a slot is free that class c may use.
func (q *Queue) fits(c int) bool {
	limit := q.limit.Current()
	if q.total() >= limit {
		return false
	}
	if c != batch && c != internal {
		return true
	}
	if q.running[batch]+q.running[internal] >= limit-Reserved(limit) {
		return false
	}
	return q.running[c] < Share(class(c), limit)
}

func (q *Queue) total() int {
	n := 0
	for _, r := range q.running {
		n += r
	}
	return n
}

func (q *Queue) queued() int {
	n := 0
	for _, w := range q.waiting {
		n += len(w)
	}
	return n
}
