package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// errPartRequest is returned for a request for a part that is not within the body.
var errPartRequest = errors.New("link: request for a part outside of the body")

// head returns the call as it is sent on a connection: without its body if that is large and the
// peer requests it in parts, or if the peer has restarted, as it then never runs the call. The caller
// holds Peer.mu.
func (o *openCall) head(s *session, c Call) *Call {
	if len(o.call.Body) <= pace.PartBytes || !s.pulls && s.incarnation == c.Incarnation {
		o.bodySent = true
		return &c
	}
	c.Body, c.BodySize = nil, len(o.call.Body)
	return &c
}

// result returns the result of a call that await has returned. A call whose body was not sent
// completely has not run, whatever else is known of it, and nothing more of the body is sent.
func (p *Peer) result(o *openCall, a *Answer, err error) (*Answer, error) {
	p.mu.Lock()
	o.ended = true
	sent := o.bodySent
	p.mu.Unlock()
	if sent {
		return a, err
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", p.node, ErrBodyNotSent, err)
	}
	if a.Outcome == Unknown {
		corrected := *a
		corrected.Outcome, corrected.ReachedUpstream = NotRun, false
		return &corrected, nil
	}
	return a, nil
}

// handlePartRequest sends a part of the body of an open call. Requests for calls that have ended
// are ignored.
func (p *Peer) handlePartRequest(id uint64, r *partRequest) error {
	p.mu.Lock()
	o, s := p.open[id], p.session
	p.mu.Unlock()
	if o == nil || s == nil {
		return nil
	}
	size := len(o.call.Body)
	if r.Offset < 0 || r.Bytes <= 0 || r.Bytes > pace.PartBytes || r.Offset > size-r.Bytes {
		return fmt.Errorf("%d bytes at offset %d of %d, from %s: %w", r.Bytes, r.Offset, size, p.node, errPartRequest)
	}
	wait := p.self.Uplink.ReservePart(r.Bytes)
	if wait <= 0 {
		p.sendPart(s, id, r)
		return nil
	}
	time.AfterFunc(wait, func() { p.sendPart(s, id, r) })
	return nil
}

// sendPart sends a part of the body of a call, unless the call has ended.
func (p *Peer) sendPart(s *session, id uint64, r *partRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.open[id]
	if o == nil || o.ended {
		return
	}
	end := r.Offset + r.Bytes
	if end == len(o.call.Body) {
		o.bodySent = true
	}
	s.send(&frame{Kind: kindBodyPart, ID: id, Part: &part{Offset: r.Offset, Body: o.call.Body[r.Offset:end]}})
}
