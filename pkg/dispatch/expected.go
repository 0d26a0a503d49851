package dispatch

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/cost"
	"github.com/tarragondrum/tarragondrum/pkg/intake"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// idleOwnShare is the share of the request's own expected time that counts as cost at an idle
	// upstream. At a full one meanTimeShare of the mean time counts instead: when all are full,
	// preferring fast upstreams for costly requests only makes their queues longer.
	// docs/design/cost.md has the figures.
	idleOwnShare = 0.4
	// restShare is the mean share of its time that a running request still takes.
	restShare = 0.5
	// minCostSamples is the number of recent samples of a route from which its estimates count.
	minCostSamples = 3
)

// ownCost returns the part of the cost that the time in a slot contributes, in ns. mean is the mean
// time of requests at the upstream.
func (c *Candidate) ownCost(load, mean float64) float64 {
	own := float64(c.Expected)
	if c.Cold {
		own *= coldFactor
	}
	return idleOwnShare*(1-load)*own + meanTimeShare*load*mean
}

// workWait estimates how long a request would wait for a slot, in ns, from the work remaining at the
// upstream. mean is the mean time of its requests. Without a report of work the number of requests
// counts.
func (c *Candidate) workWait(mean float64) float64 {
	slots, occupied := float64(max(1, c.Slots)), c.occupied()
	if occupied+1 <= slots {
		return 0
	}
	if c.ReportAge < 0 || !(c.Report.WorkMs > 0) {
		return mean * (occupied + 1 - slots) / slots
	}
	work := float64(millis(c.Report.WorkMs))*decay(c.ReportAge, reportHalfLife) + float64(c.SentWork)
	return max(0, work/slots-restShare*mean)
}

// reportedSpeed returns the speed that a candidate reports, and whether it reports one.
func (c *Candidate) reportedSpeed() (float64, bool) {
	if c.ReportAge < 0 || !(c.Report.Speed > 0) {
		return 1, false
	}
	return cost.Limit(c.Report.Speed), true
}

// ExpectWork sets the time that a request is expected to take in a slot of each candidate. expected
// is the time at usual speed, 0 if it is not known. It returns the usual speed, which is the mean of
// the speeds that the candidates report. Speeds are compared with estimates, and estimates are
// learned from times divided by speeds: relative to the mean, both cannot drift together.
func ExpectWork(candidates []Candidate, expected time.Duration) (usual float64) {
	sum, n := 0.0, 0.0
	for i := range candidates {
		if speed, known := candidates[i].reportedSpeed(); known {
			sum += speed
			n++
		}
	}
	usual = 1
	if n > 0 {
		usual = sum / n
	}
	for i := range candidates {
		c := &candidates[i]
		c.Expected = expected
		if speed, known := c.reportedSpeed(); known {
			c.Expected = time.Duration(float64(expected) * speed / usual)
		}
	}
	return usual
}

// expect returns the expected slot time of a request at an upstream of usual speed, 0 if it is not
// known.
func (s *Service) expect(r *request, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected, known := s.costs.Estimate(now, intake.CostKey(&r.call))
	if known < minCostSamples {
		expected = 0
	}
	r.expected = expected
	return expected
}

// expectAt sets the expected slot time at the chosen candidate, of which there may be none.
func (r *request) expectAt(candidates []Candidate, i int) {
	if i >= 0 {
		r.expectedThere = candidates[i].Expected
	}
}

// learnCost records the slot time of an answered request.
func (s *Service) learnCost(a *attempt, answer *link.Answer) {
	if answer == nil || !(answer.SlotMs > 0) {
		return
	}
	speed := 1.0
	if answer.Load.Speed > 0 {
		speed = cost.Limit(answer.Load.Speed) / a.usualSpeed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.costs.Observe(time.Now(), intake.CostKey(&a.call), millis(answer.SlotMs), speed)
}
