package intake

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/cost"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// expectedWork returns the estimated time of a request in a slot.
func (q *Queue) expectedWork(r *Request) time.Duration {
	if r.Expected > 0 {
		return r.Expected
	}
	return q.scaledMean(r.Route, 1)
}

// WorkRemaining returns the slot time that the running and waiting requests are still expected to
// take. Like Load.Queued, it leaves out those whose body is not complete: they take no slot yet.
func (q *Queue) WorkRemaining(now time.Time) time.Duration {
	var work time.Duration
	for _, s := range q.running {
		work += cost.Remaining(s.work, now.Sub(s.at))
	}
	for i := range q.waiting {
		if q.waiting[i].Body == nil {
			work += q.expectedWork(&q.waiting[i].Request)
		}
	}
	return work
}

// minSamples is the number of recent samples of a route from which its estimates count.
const minSamples = 3

// costs estimates the slot time of requests at the upstream beside this node.
type costs struct {
	// estimator learns the times of this upstream alone, so that its estimates need no speed.
	estimator *cost.Estimator
	// speed compares the times with those that the calling nodes expect of any upstream.
	speed cost.Speed
}

// newCosts returns costs without samples.
func newCosts() costs { return costs{estimator: cost.NewEstimator()} }

// CostKey returns the key of the cost of a call. It is the same before and after a body that comes in
// parts has been received.
func CostKey(c *link.Call) cost.Key {
	return cost.Key{Route: c.Route, Method: c.Method, Body: max(len(c.Body), c.BodySize), Organisation: c.Organisation}
}

// estimate returns the expected slot time of a call at this upstream, 0 if it is not known.
func (s *costs) estimate(now time.Time, c *link.Call) time.Duration {
	expected, known := s.estimator.Estimate(now, CostKey(c))
	if known < minSamples {
		return 0
	}
	return expected
}

// record adds the time that a call held a slot. A call without a good answer counts only for the
// speed, and only if it was given up after more than the expected time. Otherwise an upstream that
// answers nothing in time would keep its former speed.
func (s *costs) record(now time.Time, c *link.Call, took time.Duration, good, givenUp bool) {
	expected := time.Duration(c.ExpectedMs * float64(time.Millisecond))
	if good {
		s.estimator.Observe(now, CostKey(c), took, 1)
	}
	if good || givenUp && float64(took) > float64(expected)*s.speed.Value(now) {
		s.speed.Observe(now, took, expected)
	}
}

// recordCost records the slot time of a call and adds it to a good answer.
func (s *Service) recordCost(c *link.Call, a *link.Answer, good bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.costs.record(time.Now(), c, took, good, a.Reason == ReasonDeadline)
	if good {
		a.SlotMs = toMillis(took)
	}
}
