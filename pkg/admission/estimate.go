package admission

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Reserved returns the number of slots that only interactive calls and orders
// may use, of the given limit.
func Reserved(limit int) int { return limit / 3 }

// Share returns the number of slots that a class may hold, of the given limit.
func Share(c model.Class, limit int) int {
	switch c {
	case model.ClassBatch:
		return max(1, limit/2)
	case model.ClassInternal:
		return max(1, limit/3)
	}
	return limit
}

func class(c int) model.Class { return model.Classes()[c] }

// stalled reports whether every slot is taken and no call has ended for long.
// Calls are then better off at another upstream.
func (q *Queue) stalled(now time.Time) bool {
	return q.total() >= q.limit.Current() && now.Sub(q.progress) >= q.stallAfter()
}

// stallAfter is the time without an answer after which a full upstream counts
// as stalled. Before the first answer there is no telling.
func (q *Queue) stallAfter() time.Duration {
	longest := time.Duration(0)
	for c, mean := range q.mean {
		if q.running[c] > 0 && mean == 0 {
			return unknownStall
		}
		longest = max(longest, mean)
	}
	return max(minStall, stallFactor*longest)
}

// need is the shortest time in which a call of class c may be expected to run.
func (q *Queue) need(c int) time.Duration {
	return time.Duration(optimism * float64(q.mean[c]))
}

// estimate returns the time that a new call of class c would wait: the work in
// front of it, spread over the slots that the class may use.
func (q *Queue) estimate(c int) time.Duration {
	limit := q.limit.Current()
	ahead := q.mean[c]
	for other := range q.waiting {
		if other == c || other == interactive || other == order {
			ahead += q.mean[other] * time.Duration(len(q.waiting[other]))
		}
	}
	return ahead / time.Duration(max(1, Share(class(c), limit)))
}

func (q *Queue) observe(c int, took time.Duration) {
	if q.mean[c] == 0 {
		q.mean[c] = took
		return
	}
	q.mean[c] += time.Duration(smoothing * float64(took-q.mean[c]))
}

// advice turns an expected wait into the time after which to come back.
func advice(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
