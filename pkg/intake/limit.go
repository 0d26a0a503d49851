package intake

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// minLimitPerS is the lowest rate, in requests a second, that a limit is enforced at.
	// Only an answer shows that a limit has ended, so requests cannot stop altogether.
	minLimitPerS = 0.25
	// maxLimitPerS is the highest rate, in requests a second, that a limit is enforced at. It
	// keeps the burst within an int.
	maxLimitPerS = 1e6
)

// SetLimit bounds the requests a second that start from now on. The burst is what the limit
// allows in one second, and a new limit starts without any.
func (q *Queue) SetLimit(now time.Time, perS float64) {
	perS = min(max(perS, minLimitPerS), maxLimitPerS)
	burst := int(math.Ceil(perS))
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(rate.Limit(perS), burst)
		q.limiter.AllowN(now, burst)
		return
	}
	q.limiter.SetLimitAt(now, rate.Limit(perS))
	q.limiter.SetBurstAt(now, burst)
}

// RemoveLimit ends the effect of SetLimit.
func (q *Queue) RemoveLimit() { q.limiter = nil }

// RefuseDelayed appends to grants a refusal of each waiting request that the limit delays too
// long. It is called when a limit changes; later arrivals take it into account.
func (q *Queue) RefuseDelayed(now time.Time, grants []Grant) []Grant {
	all := q.waiting
	q.waiting = nil
	for i := range all {
		w := &all[i]
		if wait := q.limitWait(now, w); wait > 0 && !q.mayWait(now, w, wait) {
			grants = append(grants, Grant{ID: w.ID, Reason: RateLimited, RetryAfter: q.refusedRetryDelay(now, w, wait)})
			continue
		}
		q.waiting = append(q.waiting, *w)
	}
	return grants
}

// Limit returns the limit in force, or nil.
func (q *Queue) Limit(now time.Time) *link.Limit {
	if q.limiter == nil {
		return nil
	}
	return &link.Limit{PerS: float64(q.limiter.Limit()), Free: q.limiter.TokensAt(now) - float64(len(q.waiting))}
}

// canStart reports whether a slot is free and the limit allows a request.
func (q *Queue) canStart(now time.Time) bool {
	return q.occupied(now) < q.slots && (q.limiter == nil || q.limiter.TokensAt(now) >= 1)
}

// limitWait returns the expected time until the limit allows a new request, after all
// requests that go before it and the more urgent ones that will come meanwhile. Less urgent
// requests get at least every lowPriorityInterval-th start.
func (q *Queue) limitWait(now time.Time, r *waiting) time.Duration {
	if q.limiter == nil {
		return 0
	}
	ahead, turns := 1.0, 1.0
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.before(r) {
			ahead++
		}
		if w.Priority >= r.Priority {
			turns++
		}
	}
	free := q.limiter.TokensAt(now)
	missing := min((ahead-free)/(1-q.starts.moreUrgent(r.Priority)), turns*lowPriorityInterval-free)
	return time.Duration(max(0, missing) / float64(q.limiter.Limit()) * float64(time.Second))
}

const (
	// startWeight is the weight of the newest start in startShares.
	startWeight = 0.05
	// maxUrgentShare bounds the expected share of more urgent requests.
	maxUrgentShare = 1 - 1.0/lowPriorityInterval
)

// startShares tracks which share of the recent starts each priority got. The zero value is
// ready for use.
type startShares struct{ byPriority map[int]float64 }

// count counts a start.
func (s *startShares) count(priority int) {
	if s.byPriority == nil {
		s.byPriority = make(map[int]float64)
	}
	for p := range s.byPriority {
		s.byPriority[p] *= 1 - startWeight
	}
	s.byPriority[priority] += startWeight
}

// moreUrgent returns the share of starts that went to more urgent priorities.
func (s *startShares) moreUrgent(priority int) float64 {
	share := 0.0
	for p, of := range s.byPriority {
		if p < priority {
			share += of
		}
	}
	return min(share, maxUrgentShare)
}
