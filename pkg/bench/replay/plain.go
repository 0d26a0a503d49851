package replay

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/intake"
)

const (
	// plainWaitingPerSlot is the number of requests that may wait for each slot. The example
	// upstreams have the same limit in their own queues.
	plainWaitingPerSlot = 4
	// plainRetryAfter is the retry delay for refused requests.
	plainRetryAfter = 200 * time.Millisecond
)

// plainQueue is the baseline: first come, first served, with a limit on the number of waiting
// requests and no regard to deadlines or priorities.
type plainQueue struct {
	slots   int
	running map[uint64]bool
	waiting []uint64
	// limiter bounds the requests that start a second.
	limiter *rate.Limiter
}

// newPlainQueue returns a queue for an upstream with the given slots, and with a limit of
// requests a second unless it is 0.
func newPlainQueue(slots int, perS float64) *plainQueue {
	q := &plainQueue{slots: slots, running: make(map[uint64]bool), limiter: rate.NewLimiter(rate.Inf, 1)}
	if perS > 0 {
		q.limiter = rate.NewLimiter(rate.Limit(perS), 1)
	}
	return q
}

// start gives a free slot to a request if the limit allows it, and reports whether it did.
func (q *plainQueue) start(now time.Time, id uint64) bool {
	if len(q.running) >= q.slots || !q.limiter.AllowN(now, 1) {
		return false
	}
	q.running[id] = true
	return true
}

// Arrive runs a request if it can start, lets it wait if the queue has space, or else refuses
// it.
func (q *plainQueue) Arrive(now time.Time, r intake.Request) intake.Decision {
	switch {
	case len(q.waiting) == 0 && q.start(now, r.ID):
		return intake.Decision{Run: true}
	case len(q.waiting) < plainWaitingPerSlot*q.slots:
		q.waiting = append(q.waiting, r.ID)
		return intake.Decision{Wait: true}
	}
	return intake.Decision{Reason: intake.NoSlot, RetryAfter: plainRetryAfter}
}

// Done frees the slot of a request.
func (q *plainQueue) Done(_ time.Time, id uint64, _ bool) { delete(q.running, id) }

// Next starts waiting requests in the order of arrival.
func (q *plainQueue) Next(now time.Time, grants []intake.Grant) []intake.Grant {
	for len(q.waiting) > 0 && q.start(now, q.waiting[0]) {
		grants = append(grants, intake.Grant{ID: q.waiting[0]})
		q.waiting = q.waiting[1:]
	}
	return grants
}
