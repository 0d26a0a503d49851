package intake

import "time"

// linkIsFull reports whether a large answer is refused because of the backlog on the host's
// link. An answer that would be in time on an idle link is refused if the backlog makes it
// late. An answer that is late even on an idle link may wait lateWaitFactor mean times, as it
// may for a slot. Where links are too slow for the demand, an immediate refusal leaves the
// caller time to try another host.
func (q *Queue) linkIsFull(now time.Time, r *Request) bool {
	if r.LinkWait == 0 {
		return false
	}
	alone := now.Add(q.scaledMean(r.Route, 1) + r.Transfer)
	limit := earlier(r.SoftDeadline, r.Deadline)
	if r.Nested {
		limit = r.Deadline
	}
	if alone.After(limit) {
		return r.LinkWait > q.scaledMean(r.Route, lateWaitFactor) || alone.Add(r.LinkWait).After(r.Deadline)
	}
	return alone.Add(r.LinkWait).After(limit)
}

// mayWait reports whether a request is still useful after it waited for a slot. A request that
// will be late would take the slot of one that can be in time, so it may wait only
// lateWaitFactor mean times of its route. A request of a starved route may wait until its
// deadline, and so may a nested call.
func (q *Queue) mayWait(now time.Time, w *waiting, wait time.Duration) bool {
	if w.Nested {
		return !now.Add(wait + q.scaledMean(w.Route, aimFactor) + w.linkTime()).After(w.Deadline)
	}
	end := now.Add(wait + q.scaledMean(w.Route, aimFactor) + w.linkTime())
	if w.starved || w.isReceived() {
		return !end.After(w.Deadline)
	}
	if w.late {
		return wait <= q.scaledMean(w.Route, lateWaitFactor) && !end.After(w.Deadline)
	}
	return !end.After(earlier(w.SoftDeadline, w.Deadline))
}

// estimateWait returns the expected time until a new request gets a slot. That is the shorter
// of two waits: for all requests that go before it, or for its turn among the slots reserved
// for less urgent requests.
func (q *Queue) estimateWait(r *waiting) time.Duration {
	var work, behind time.Duration
	for i := range q.waiting {
		w := &q.waiting[i]
		if !w.isBeforeBody(r) {
			continue
		}
		if w.before(r) {
			work += q.scaledMean(w.Route, 1)
		}
		if w.Priority >= r.Priority && !r.beforeByShare(w) {
			behind += q.scaledMean(w.Route, 1)
		}
	}
	return q.waitBehind(work, behind)
}

// waitBehind returns the expected time until a request gets a slot behind the given work.
// behind is the work of the requests that are not more urgent.
func (q *Queue) waitBehind(work, behind time.Duration) time.Duration {
	return min(work+q.mean, (behind+q.mean)*lowPriorityInterval) / time.Duration(q.slots)
}

// retryDelay returns the time after which a refused caller should retry: half of the expected
// wait, within minRetryAfter and maxRetryAfter.
func (q *Queue) retryDelay(wait time.Duration) time.Duration {
	return min(max(wait/2, minRetryAfter), maxRetryAfter)
}

// refusedRetryDelay returns the time after which a caller should retry that may not wait.
func (q *Queue) refusedRetryDelay(now time.Time, w *waiting, wait time.Duration) time.Duration {
	if w.late {
		return q.lateRetryDelay(now, w)
	}
	return min(q.retryDelay(wait), q.maxTimelyRetryDelay(now, w))
}

// lateRetryShare is the share of the remaining time after which a refused late caller retries.
// With 0.3 the caller can retry a few times, the first one within a third of its remaining
// time.
const lateRetryShare = 0.3

// lateRetryDelay returns the time after which a refused caller should retry when its answer is
// already late. Requests that can be in time go first, so the delay is a share of the time
// that the late caller has left: it returns when the overload may have passed, and not at the
// next free slot.
func (q *Queue) lateRetryDelay(now time.Time, w *waiting) time.Duration {
	left := w.Deadline.Sub(now) - q.scaledMean(w.Route, 1) - w.linkTime()
	return min(max(time.Duration(lateRetryShare*float64(left)), minRetryAfter), maxRetryAfter)
}

// maxTimelyRetryDelay returns the longest retry delay after which the caller can still be
// answered in time. Half of the spare time is left for its way back and its wait.
func (q *Queue) maxTimelyRetryDelay(now time.Time, w *waiting) time.Duration {
	left := w.SoftDeadline.Sub(now) - q.scaledMean(w.Route, aimFactor) - w.linkTime()
	return max(minRetryAfter, left/2)
}

// nestedFactor returns the time that must be left before the deadline of a waiting nested call,
// in mean times of its route. If more nested calls wait than there are slots, those that would
// probably miss their deadline make room for others. The slots would otherwise be spent on
// calls that have waited so long that most of them fail.
func (q *Queue) nestedFactor() float64 {
	if q.QueuedNested() > q.slots {
		return aimFactor
	}
	return deadlineFactor
}

// QueuedNested returns the number of nested calls that wait.
func (q *Queue) QueuedNested() int {
	n := 0
	for i := range q.waiting {
		if q.waiting[i].Nested {
			n++
		}
	}
	return n
}
