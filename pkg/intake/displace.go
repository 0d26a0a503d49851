package intake

import "time"

// displace refuses the requests behind the one that was inserted at index i that it has delayed
// too long. They are refused at once, so that their callers can use the time that is left, and
// not held until their deadline. Next returns the refusals, the least urgent first.
//
// A request is admitted if aimFactor mean times of its route are left for its answer, and
// displaced only if less than one is left. So a small error of an estimate doesn't displace
// a request that was just admitted. Only the wait for a slot counts: the wait for an
// upstream's limit of requests a second includes urgent requests that are yet to come. A
// request does not displace others of its own route, organisation and priority, for which the node beside
// the next upstream would decide the same way.
func (q *Queue) displace(now time.Time, i int) {
	if i == len(q.waiting)-1 {
		return
	}
	var total time.Duration
	for k := range q.waiting {
		if q.waiting[k].Body != nil {
			continue
		}
		total += q.scaledMean(q.waiting[k].Route, 1)
	}
	// ahead is the work of the requests that are kept so far, and urgent that of the more
	// urgent ones among them.
	var ahead, urgent time.Duration
	arrived, priority := q.waiting[i], q.waiting[0].Priority
	kept, refused := q.waiting[:0], []Grant(nil)
	for k, w := range q.waiting {
		own := q.scaledMean(w.Route, 1)
		if w.Priority != priority {
			priority, urgent = w.Priority, ahead
		}
		if w.Body != nil {
			own = 0
		}
		wait := q.waitBehind(ahead, total-urgent-own)
		if k > i && !arrived.isAlike(&w) && q.isDelayed(now, &w, wait) {
			refused = append(refused, Grant{ID: w.ID, Reason: Displaced, RetryAfter: q.refusedRetryDelay(now, &w, wait)})
			total -= own
			continue
		}
		kept = append(kept, w)
		ahead += own
	}
	q.waiting = kept
	for k := len(refused) - 1; k >= 0; k-- {
		q.displaced = append(q.displaced, refused[k])
	}
}

// isAlike reports whether two requests are of the same route and organisation and equally
// urgent.
func (w *waiting) isAlike(x *waiting) bool {
	return w.Route == x.Route && w.Priority == x.Priority && w.Nested == x.Nested && w.Organisation == x.Organisation
}

// isDelayed reports whether a waiting request can no longer be answered in time, or before its
// deadline if it was admitted for a late answer. Requests of starved routes and nested
// calls wait until their deadline.
func (q *Queue) isDelayed(now time.Time, w *waiting, wait time.Duration) bool {
	limit := earlier(w.SoftDeadline, w.Deadline)
	if w.starved || w.Nested || w.late || w.isReceived() {
		limit = w.Deadline
	}
	return now.Add(max(wait, w.bodyLeft(now)) + q.scaledMean(w.Route, 1) + w.linkTime()).After(limit)
}
