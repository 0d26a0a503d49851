package intake

import "time"

// linkIsFull reports whether a large answer would wait too long for the host's link: it
// would be late only because of those before it. One that is late anyway waits as
// shortly as it would for a slot. Where links are too slow for what is asked, refusing
// at once leaves its callers time to find another host.
func (q *Queue) linkIsFull(now time.Time, r *Request) bool {
	if r.Link == 0 {
		return false
	}
	alone := now.Add(q.needOf(r.Route, 1) + r.Transfer)
	limit := earlier(r.Aim, r.Deadline)
	if alone.After(limit) {
		return r.Link > q.needOf(r.Route, lateWait) || alone.Add(r.Link).After(r.Deadline)
	}
	return alone.Add(r.Link).After(limit)
}

// mayWait reports whether a request is of use after a wait. One that would be
// late takes the slot of one that would not, so that it waits only shortly.
func (q *Queue) mayWait(now time.Time, w *waiting, wait time.Duration) bool {
	end := now.Add(wait + q.needOf(w.Route, aimNeed) + w.carry())
	if w.starved {
		return !end.After(w.Deadline)
	}
	if w.late {
		return wait <= q.needOf(w.Route, lateWait) && !end.After(w.Deadline)
	}
	return !end.After(earlier(w.Aim, w.Deadline))
}

// estimate returns the time until a new request gets a slot: it is behind all
// that goes before it, or gets one of the turns that the less urgent have,
// whichever comes first.
func (q *Queue) estimate(r *waiting) time.Duration {
	work, behind := q.mean, q.mean
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.before(r) {
			work += q.needOf(w.Route, 1)
		}
		if w.Priority >= r.Priority {
			behind += q.needOf(w.Route, 1)
		}
	}
	return min(work, behind*turn) / time.Duration(q.slots)
}

// advice is the time in which the queue drains enough for another request.
func (q *Queue) advice(wait time.Duration) time.Duration {
	return min(max(wait/2, minRetryAfter), maxRetryAfter)
}

// lateShare is the part of the time left to a late request after which it comes back.
// A caller comes back a few times, and not later than after a third of its time.
const lateShare = 0.3

// lateAdvice is when a refused caller that is late already comes back. Those that can be
// in time go first, so that it should come when the load has passed: after a part of
// its time, not with the next free slot.
func (q *Queue) lateAdvice(now time.Time, w *waiting) time.Duration {
	left := w.Deadline.Sub(now) - q.needOf(w.Route, 1) - w.carry()
	return min(max(time.Duration(lateShare*float64(left)), minRetryAfter), maxRetryAfter)
}

// spare is the longest advice with which a refused caller, after its way back, can
// still be served in time.
func (q *Queue) spare(now time.Time, w *waiting) time.Duration {
	left := w.Aim.Sub(now) - q.needOf(w.Route, aimNeed) - w.carry()
	return max(minRetryAfter, left/2)
}
