package intake

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fairshare"
)

// organisation returns the organisation of a request for the shares of its priority.
func (r *Request) organisation() fairshare.Organisation {
	return fairshare.Organisation{Name: r.Organisation, Priority: r.Priority}
}

// excess returns how far the organisation of a new request is above its share, with the work
// that waits for it already.
func (q *Queue) excess(r *Request) float64 {
	if r.Organisation == "" {
		return 0
	}
	var pending time.Duration
	for i := range q.waiting {
		if w := &q.waiting[i]; w.organisation() == r.organisation() {
			pending += q.scaledMean(w.Route, 1)
		}
	}
	return q.organisations.Excess(r.organisation(), pending)
}

// chargeStart charges the organisation of a request that starts with the expected time, since
// the share must count requests that still run.
func (q *Queue) chargeStart(r *Request) {
	if r.Organisation != "" {
		q.organisations.Served(r.organisation())
		q.organisations.Used(r.organisation(), q.scaledMean(r.Route, 1))
	}
}

// chargeEnd corrects the charge of a request by the time that it took.
func (q *Queue) chargeEnd(now time.Time, s *started) {
	if s != nil && s.organisation.Name != "" {
		q.organisations.Used(s.organisation, now.Sub(s.at)-s.expected)
	}
}

// beforeByShare reports whether w goes before x, which is equally urgent, because its
// organisation is less far above its share.
func (w *waiting) beforeByShare(x *waiting) bool {
	return w.Priority == x.Priority && !x.Nested && w.excess < x.excess
}
