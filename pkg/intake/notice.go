package intake

import (
	"math"
	"net/http"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// NoticeChange describes an answer whose notice differs from that of the answer before it.
type NoticeChange struct {
	Before, After fleet.Notice
	// Requests is the number of requests sent to the upstream since the last change of its
	// limit, and Since the time of that change.
	Requests int
	Since    time.Time
	// FromPeer is set if another node sent the notice, and not the upstream.
	FromPeer bool
	// Err tells why the limit in the answer cannot be read. The limit Before stays in force.
	Err error
}

// noticeState is what the upstream told about itself in its newest answer.
type noticeState struct {
	fleet.Notice
	// answeredAt is when the head of that answer arrived. It is zero before the first answer.
	answeredAt time.Time
	unreadable bool
	limitSince time.Time
	requests   int
}

// reset forgets the notice of an upstream process that was replaced.
func (n *noticeState) reset(now time.Time) { *n = noticeState{limitSince: now} }

// update takes over the notice of an answer, unless it is older than the known one, and
// reports whether anything changed.
func (n *noticeState) update(now, answeredAt time.Time, next fleet.Notice, err error) (NoticeChange, bool) {
	if answeredAt.Before(n.answeredAt) {
		return NoticeChange{}, false
	}
	c := NoticeChange{Before: n.Notice, After: next, Requests: n.requests, Since: n.limitSince, Err: err}
	if err != nil {
		c.After.Limited, c.After.LimitPerS = n.Limited, n.LimitPerS
	}
	c.After.Leaving = c.After.Leaving || n.Leaving
	isNew := c.After != n.Notice || (err != nil) != n.unreadable
	n.Notice, n.answeredAt, n.unreadable = c.After, answeredAt, err != nil
	if !c.After.SameLimit(c.Before) {
		n.limitSince, n.requests = now, 0
	}
	return c, isNew
}

// recordNotice processes what an answer tells about the upstream u. An answer that another
// process gave at the same address tells nothing.
func (s *Service) recordNotice(u fleet.Upstream, r *h1.Response) {
	h := s.options.Headers
	if r.Status == http.StatusMisdirectedRequest || r.Header.Get(h.Signature) == "" && r.Header.Get(h.NotExecuted) == "" {
		return
	}
	next, err := s.options.DecodeNotice(r.Header)
	s.mu.Lock()
	if u.ID != s.upstream.ID || u.Born != s.upstream.Born {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	change, isNew := s.notice.update(now, r.HeadAt, next, err)
	if isNew {
		s.applyLimit(now)
	}
	s.mu.Unlock()
	if isNew {
		s.options.OnNotice(u, change)
	}
}

// adoptLimit takes over the limit that the calling node knows, until the first answer since
// the start of this node shows what the upstream says itself.
func (s *Service) adoptLimit(now time.Time, c *link.Call) {
	known := c.KnownLimit
	if known == nil || math.IsNaN(known.PerS) {
		return
	}
	s.mu.Lock()
	if c.UpstreamID != s.upstream.ID || known.Born != s.upstream.Born || s.notice.Limited || !s.notice.answeredAt.IsZero() {
		s.mu.Unlock()
		return
	}
	u := s.upstream
	change, _ := s.notice.update(now, time.Time{}, fleet.Notice{Limited: true, LimitPerS: known.PerS}, nil)
	change.FromPeer = true
	s.applyLimit(now)
	s.mu.Unlock()
	s.options.OnNotice(u, change)
}

// applyLimit enforces the limit of the newest notice. The caller holds mu.
func (s *Service) applyLimit(now time.Time) {
	if s.notice.Limited {
		s.queue.SetLimit(now, s.notice.LimitPerS)
		s.deliver(s.queue.RefuseDelayed(now, nil))
	} else {
		s.queue.RemoveLimit()
	}
	s.deliver(s.queue.Next(now, nil))
}

// LimitPerS returns the requests a second that the upstream accepts, and whether it limits
// them.
func (s *Service) LimitPerS() (perS float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notice.LimitPerS, s.notice.Limited
}
