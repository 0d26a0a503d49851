package replay

import (
	"time"

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
}

func newPlainQueue(slots int) *plainQueue {
	return &plainQueue{slots: slots, running: make(map[uint64]bool)}
}

// Arrive runs a request if a slot is free, lets it wait if the queue has space, or else
// refuses it.
func (q *plainQueue) Arrive(_ time.Time, r intake.Request) intake.Decision {
	switch {
	case len(q.running) < q.slots && len(q.waiting) == 0:
		q.running[r.ID] = true
		return intake.Decision{Run: true}
	case len(q.waiting) < plainWaitingPerSlot*q.slots:
		q.waiting = append(q.waiting, r.ID)
		return intake.Decision{Wait: true}
	}
	return intake.Decision{Reason: intake.NoSlot, RetryAfter: plainRetryAfter}
}

// Done frees the slot of a request.
func (q *plainQueue) Done(_ time.Time, id uint64, _ bool) { delete(q.running, id) }

// Next grants free slots in the order of arrival.
func (q *plainQueue) Next(_ time.Time, grants []intake.Grant) []intake.Grant {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		id := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running[id] = true
		grants = append(grants, intake.Grant{ID: id})
	}
	return grants
}
