package intake

import (
	"math"
	"time"
)

const (
	// hangHalfLife is the time after which a request counts half in the comparison of hangs.
	hangHalfLife = 30 * time.Second
	// minSigns is the number of recent seconds with a request that got no answer after it
	// started while more than the slots were in use, below which nothing is concluded. An
	// upstream that is slow for three seconds leaves several requests unanswered as well.
	minSigns = 5.0
	signStep = time.Second
	// minWithin is the number of recent other requests below which nothing is concluded.
	minWithin = 100.0
	// hangFactor and hangMargin are how far the share of such requests must be above that of
	// the others. maxLostWithin is the share of the others above which nothing is concluded:
	// answers that are lost on the way are lost at any load, and if lost answers kept their
	// slots then, a replay with 0.08 of them would answer 0.38 instead of 0.50 in time.
	hangFactor    = 2.5
	hangMargin    = 0.05
	maxLostWithin = 0.06
	// hangMemory is how long the upstream is then kept from more requests than it has slots.
	// Without them nothing further shows that it hangs.
	hangMemory = 5 * time.Minute
)

// hangs learns whether the upstream leaves requests unanswered when more of them are in use
// than it has slots. Some upstreams then never answer, nor anything further on that connection. A
// request whose answer is probably lost must keep its slot there, since it may still run.
// The zero value is ready for use.
type hangs struct {
	over, within outcomes
	decayedAt    time.Time
	until        time.Time
	// signs counts as minSigns says, and signAt is when it last increased.
	signs  float64
	signAt time.Time
}

// outcomes counts ended requests and those without an answer at their deadline. Counts decay
// with time.
type outcomes struct{ ended, unanswered float64 }

// share returns the share of the requests without an answer.
func (o *outcomes) share() float64 { return o.unanswered / max(o.ended, 1) }

// ended counts a request. over reports that more than the slots were in use when it started.
func (h *hangs) ended(now time.Time, over, unanswered bool) {
	if age := now.Sub(h.decayedAt); age > 0 {
		keep := math.Exp2(-float64(age) / float64(hangHalfLife))
		for _, o := range []*outcomes{&h.over, &h.within} {
			o.ended, o.unanswered = o.ended*keep, o.unanswered*keep
		}
		h.signs *= keep
		h.decayedAt = now
	}
	o := &h.within
	if over {
		o = &h.over
	}
	o.ended++
	if !unanswered {
		return
	}
	o.unanswered++
	if over && now.Sub(h.signAt) >= signStep {
		h.signs++
		h.signAt = now
	}
	known := h.signs >= minSigns && h.within.ended >= minWithin
	if lost := h.within.share(); known && lost <= maxLostWithin && h.over.share() > hangFactor*lost+hangMargin {
		h.until = now.Add(hangMemory)
	}
}

// hangsWhenFull reports whether the upstream is kept from more requests than it has slots.
func (h *hangs) hangsWhenFull(now time.Time) bool { return now.Before(h.until) }

// HangsWhenFull reports whether the upstream was found to leave requests unanswered when more
// than its slots are in use, so that requests without an answer keep their slots.
func (q *Queue) HangsWhenFull(now time.Time) bool { return q.hangs.hangsWhenFull(now) }

// ForgetHangs forgets what was learned of an upstream that was replaced.
func (q *Queue) ForgetHangs() { q.hangs = hangs{} }

// recordHang counts an ended request for the comparison of hangs. A request that did not
// succeed and ended no earlier than its deadline got no answer.
func (q *Queue) recordHang(now time.Time, s *started, ok bool) {
	if s != nil {
		q.hangs.ended(now, s.over, !ok && !now.Before(s.deadline))
	}
}

// reportHang calls Options.OnHang if the upstream starts or stops being kept from more requests
// than it has slots. The caller holds mu.
func (s *Service) reportHang(now time.Time) {
	hangs := s.queue.HangsWhenFull(now)
	if hangs == s.hanging {
		return
	}
	s.hanging = hangs
	if s.options.OnHang != nil {
		s.options.OnHang(s.upstream, hangs)
	}
}
