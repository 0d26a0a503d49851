package intake

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// ReasonBodyStalled refuses a request whose body the calling node did not send.
const ReasonBodyStalled = "body-stalled"

// Body describes the body of a request that is still to come over the host's inbound link. The
// request is let in before the body moves, and gets a slot when it is complete.
//
// Measured load: 166 uploads of 54 KB a second to 7 hosts with links of 10 Mbit/s and 9 slots. The
// links were full, and uploads that were refused for a slot had crossed them for nothing.
type Body struct {
	// Wait is how long the link is taken by other bodies, and Transfer how long it takes for this
	// one.
	Wait, Transfer time.Duration
	// CompleteAt is when the body is expected to be complete.
	CompleteAt time.Time
}

// FreeBodyWait is the wait for the inbound link up to which a request counts as not waiting for it.
// It is about the time of one upload of the measured load.
const FreeBodyWait = 50 * time.Millisecond

// bodyTransfer returns how long the body of a request takes on an idle link, 0 once it is complete.
func (r *Request) bodyTransfer() time.Duration {
	if r.Body == nil {
		return 0
	}
	return r.Body.Transfer
}

// bodyLeft returns the time until the body of a request is expected to be complete.
func (r *Request) bodyLeft(now time.Time) time.Duration {
	if r.Body == nil {
		return 0
	}
	return max(0, r.Body.CompleteAt.Sub(now))
}

// Receiving returns the number of waiting requests whose body is not complete.
func (q *Queue) Receiving() int {
	n := 0
	for i := range q.waiting {
		if q.waiting[i].Body != nil {
			n++
		}
	}
	return n
}

// hasReady reports whether a request waits whose body is complete.
func (q *Queue) hasReady() bool {
	return slices.ContainsFunc(q.waiting, func(w waiting) bool { return w.Body == nil })
}

// isBeforeBody reports whether the body of w is complete by the time at which x needs a slot.
func (w *waiting) isBeforeBody(x *waiting) bool {
	return w.Body == nil || x.Body != nil && !w.Body.CompleteAt.After(x.Body.CompleteAt)
}

// isReceived reports whether the body came over the link after the request was let in. Such a request
// is refused only if it cannot be answered before its deadline, as its body would have come for
// nothing.
func (w *waiting) isReceived() bool { return !w.receivedAt.IsZero() }

const (
	// slotWaitWeight is the weight of the newest request in slotWait.
	slotWaitWeight = 0.2
	// slotWaitHalfLife is the age at which slotWait counts half.
	slotWaitHalfLife = time.Second
)

// slotWait is a moving average of how long requests wait for a slot after their body is complete.
// While a body comes, requests that go before it take the slots, which no estimate on arrival sees:
// with the measured load a third of the uploads that were let in by that alone were answered late.
type slotWait struct {
	mean time.Duration
	at   time.Time
}

// started records a request that gets a slot.
func (s *slotWait) started(now time.Time, w *waiting) {
	if w.isReceived() {
		mean := s.value(now)
		s.mean, s.at = mean+time.Duration(slotWaitWeight*float64(now.Sub(w.receivedAt)-mean)), now
	}
}

// value returns the average, which decays with time.
func (s *slotWait) value(now time.Time) time.Duration {
	if s.mean <= 0 {
		return 0
	}
	return time.Duration(float64(s.mean) * math.Exp2(-float64(now.Sub(s.at))/float64(slotWaitHalfLife)))
}

const (
	// bodyWaitShare is the share of the time until the target that a body may wait for the link, and
	// minBodyWait what it may wait in any case. The link is busy with a short line of bodies as well
	// as with a long one, and what waits longer there often gets its slot too late: with the measured
	// load and no bound, 0.56 of the uploads are answered in time, 0.16 late, and 3 in 100 bytes
	// come for nothing; with a bound of 200 ms, 0.68 in time and none late or for nothing (400 ms: 0.66).
	bodyWaitShare = 0.2
	minBodyWait   = 200 * time.Millisecond
)

// maxBodyWait returns how long the body of a request may wait for the link.
func (w *waiting) maxBodyWait(now time.Time) time.Duration {
	limit := earlier(w.SoftDeadline, w.Deadline)
	if w.Nested {
		limit = w.Deadline
	}
	return max(minBodyWait, time.Duration(bodyWaitShare*float64(limit.Sub(now))))
}

// refuseBody decides on a request whose body is not received yet, given its expected wait for a slot.
// The waits for the link and for the slot pass at the same time.
func (q *Queue) refuseBody(now time.Time, w *waiting, slotWait time.Duration) (Decision, bool) {
	free := q.occupied(now)+len(q.waiting) < q.slots
	if free && q.limitWait(now, w) == 0 {
		slotWait = 0
	}
	switch {
	case w.MayWait:
	case w.Body.Wait > FreeBodyWait:
		return Decision{Reason: LinkFull, RetryAfter: q.retryDelay(w.Body.Wait)}, true
	case slotWait > w.Body.Wait+w.Body.Transfer:
		return Decision{Reason: NoSlot, RetryAfter: q.retryDelay(slotWait)}, true
	}
	// Of the wait for a slot, the time that the body takes on an idle link is not lost.
	behindSlots := max(0, slotWait-w.Body.Transfer)
	wait := max(w.Body.Wait, behindSlots) + q.bodySlots.value(now)
	rest := *w
	rest.Transfer += w.Body.Transfer
	if w.Body.Wait <= w.maxBodyWait(now) && q.mayWait(now, &rest, wait) {
		return Decision{}, false
	}
	v := Decision{Reason: TooLate, RetryAfter: q.refusedRetryDelay(now, &rest, wait)}
	if w.Body.Wait >= behindSlots || w.Body.Wait > w.maxBodyWait(now) {
		v.Reason = LinkFull
	}
	if w.late {
		v.HalvedMean = q.halveStaleMean(now, w.Route)
	}
	return v, true
}

// BodyReceived lets a waiting request have a slot, as its body is complete. It reports whether the
// request was waiting.
func (q *Queue) BodyReceived(now time.Time, id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting[i].Body, q.waiting[i].receivedAt = nil, now
	return true
}

// body describes the body of a call that is not received yet. The caller holds mu.
func (s *Service) body(now time.Time, c *link.Call) *Body {
	b := &Body{Wait: s.options.Downlink.Wait(c.PullRank()), Transfer: s.options.Downlink.Time(c.BodySize)}
	b.CompleteAt = now.Add(b.Wait + b.Transfer)
	return b
}

// receive receives the body of a waiting request. It returns a refusal if the body does not come,
// or if the queue refuses the request meanwhile.
func (s *Service) receive(ctx context.Context, c *link.Call, id uint64, granted chan Grant) *link.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	refused, fetched, watched := make(chan Grant, 1), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case g := <-granted: // a refusal, as the body is not complete
			refused <- g
			cancel()
		case <-fetched:
		}
	}()
	err := c.Fetch(ctx)
	close(fetched)
	<-watched
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case g := <-refused:
		return refuse(string(g.Reason), g.RetryAfter)
	default:
	}
	if err != nil {
		s.queue.Cancel(id)
		delete(s.waiters, id)
		return bodyRefusal(err)
	}
	if now := time.Now(); s.queue.BodyReceived(now, id) {
		s.deliver(s.queue.Next(now, nil))
	}
	return nil
}

// bodyRefusal returns the answer to a call whose body was not received.
func bodyRefusal(err error) *link.Answer {
	switch {
	case errors.Is(err, link.ErrNoBodyMemory):
		return refuse(ReasonNoMemory, minRetryAfter)
	case errors.Is(err, link.ErrBodyStalled):
		return refuse(ReasonBodyStalled, minRetryAfter)
	}
	return refuse(string(CallerGone), 0)
}
