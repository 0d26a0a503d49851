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
	// maxLimitPerS is the highest rate, in requests a second, that a limit is enforced at.
	// Higher limits have no effect.
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
// requests that go before it. Less urgent requests get at least every lowPriorityInterval-th
// start.
func (q *Queue) limitWait(now time.Time, r *waiting) time.Duration {
	if q.limiter == nil {
		return 0
	}
	ahead, turns := 1, 1
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.before(r) {
			ahead++
		}
		if w.Priority >= r.Priority {
			turns++
		}
	}
	missing := float64(min(ahead, turns*lowPriorityInterval)) - q.limiter.TokensAt(now)
	return time.Duration(max(0, missing) / float64(q.limiter.Limit()) * float64(time.Second))
}
