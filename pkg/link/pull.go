package link

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// ErrNoBodyMemory is returned by Call.Fetch if there is no memory left for the body.
var ErrNoBodyMemory = errors.New("link: no memory for the body")

// ErrBodyStalled is returned by Call.Fetch if the calling node does not send the body, or its
// connection is lost and it does not connect again.
var ErrBodyStalled = errors.New("link: body stalled")

const (
	// maxStall is how long a body may make no progress before it is given up. It is longer than the
	// loss of a connection takes to be noticed and the connection to be replaced.
	maxStall = 1500 * time.Millisecond
	// stallCheck is the time between two checks for it.
	stallCheck = 250 * time.Millisecond
)

// incomingBody is the body of a call while it is requested.
type incomingBody struct {
	id   uint64
	body []byte
	// pull, session and done are protected by the lock of the puller. session is the connection on
	// which the parts are requested. done is closed when the body is complete.
	pull    *pace.Pull
	session *session
	done    chan struct{}
}

// puller requests the bodies of calls from the calling nodes, at the pace of the inbound link.
type puller struct {
	downlink *pace.Downlink
	timer    *time.Timer

	mu     sync.Mutex
	bodies map[*pace.Pull]*incomingBody
}

// newPuller returns a puller without bodies.
func newPuller(d *pace.Downlink) *puller {
	p := &puller{downlink: d, bodies: make(map[*pace.Pull]*incomingBody)}
	if d == nil {
		// A node that does not offer to request bodies may still get a call without one.
		p.downlink = pace.NewDownlink(unpacedMbps)
	}
	p.timer = time.AfterFunc(time.Hour, p.run)
	return p
}

// unpacedMbps is a link speed above that of any host.
const unpacedMbps = 1e6

// fetch receives the body of a call of a node. It reserves the memory first.
func (s *Server) fetch(ctx context.Context, node string, c *caller, id uint64, served *servedCall, call *Call, held *memory.Reservation) error {
	start := time.Now()
	err := s.receiveBody(ctx, c, id, served, call, held)
	if err != nil {
		held.Release()
		err = fmt.Errorf("from %s: %w", node, err)
	}
	if s.Self.ObserveBody != nil {
		s.Self.ObserveBody(call.BodySize, time.Since(start), err)
	}
	return err
}

// receiveBody requests the body of a call and waits until it is complete.
func (s *Server) receiveBody(ctx context.Context, c *caller, id uint64, served *servedCall, call *Call, held *memory.Reservation) error {
	if call.BodySize > maxFrameBytes || !held.TryGrow(int64(call.BodySize)) {
		return fmt.Errorf("%d bytes: %w", call.BodySize, ErrNoBodyMemory)
	}
	b := &incomingBody{id: id, body: make([]byte, call.BodySize), done: make(chan struct{})}
	c.mu.Lock()
	served.body = b
	s.puller.add(b, c.session, call.PullRank())
	c.mu.Unlock()
	defer func() {
		s.puller.remove(b)
		c.mu.Lock()
		served.body = nil
		c.mu.Unlock()
	}()
	check := time.NewTicker(stallCheck)
	defer check.Stop()
	for {
		select {
		case <-b.done:
			call.Body = b.body
			return nil
		case <-ctx.Done():
			return fmt.Errorf("receive the body: %w", ctx.Err())
		case <-check.C:
			if stalled := s.puller.stalledFor(b); stalled > maxStall {
				return fmt.Errorf("no part in %s: %w", stalled.Round(time.Millisecond), ErrBodyStalled)
			}
		}
	}
}

// receivePart stores a received part of a body. Parts that were not requested on this connection
// are ignored: the request may have ended meanwhile.
func (c *caller) receivePart(p *puller, session *session, id uint64, next *part) {
	c.mu.Lock()
	served := c.calls[id]
	var b *incomingBody
	if served != nil {
		b = served.body
	}
	c.mu.Unlock()
	if b != nil {
		p.receive(b, session, next)
	}
}

// add begins to request a body on a connection, which is nil if none is open.
func (p *puller) add(b *incomingBody, session *session, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.session = session
	p.downlink.Do(func(schedule *pace.Pulls, now time.Time) {
		b.pull = schedule.Add(now, rank, len(b.body))
		if session == nil {
			schedule.Pause(now, b.pull)
		}
	})
	p.bodies[b.pull] = b
	p.request()
}

// remove ends the requests for a body.
func (p *puller) remove(b *incomingBody) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downlink.Do(func(schedule *pace.Pulls, _ time.Time) { schedule.Remove(b.pull) })
	delete(p.bodies, b.pull)
	p.request()
}

// restart requests a body anew on another connection.
func (p *puller) restart(b *incomingBody, session *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.session == session || p.bodies[b.pull] == nil || b.pull.Complete() {
		return
	}
	b.session = session
	p.downlink.Do(func(schedule *pace.Pulls, now time.Time) { schedule.Restart(now, b.pull) })
	p.request()
}

// pause ends the requests on a connection that was lost.
func (p *puller) pause(session *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.bodies {
		if b.session == session && !b.pull.Complete() {
			p.downlink.Do(func(schedule *pace.Pulls, now time.Time) { schedule.Pause(now, b.pull) })
		}
	}
	p.request()
}

// receive stores a part that was requested.
func (p *puller) receive(b *incomingBody, session *session, next *part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.session != session || p.bodies[b.pull] == nil {
		return
	}
	requested := false
	p.downlink.Do(func(schedule *pace.Pulls, now time.Time) {
		requested = schedule.Received(now, b.pull, next.Offset, len(next.Body))
	})
	if !requested {
		return
	}
	copy(b.body[next.Offset:], next.Body)
	if b.pull.Complete() {
		close(b.done)
	}
	p.request()
}

// stalledFor returns how long a body has made no progress.
func (p *puller) stalledFor(b *incomingBody) (stalled time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downlink.Do(func(schedule *pace.Pulls, now time.Time) { stalled = schedule.StalledFor(now, b.pull) })
	return stalled
}

// run requests what is due when the timer fires.
func (p *puller) run() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.request()
}

// request requests all parts that are due, and sets the timer for the next one. The caller holds
// mu.
func (p *puller) request() {
	for {
		var next pace.PartRequest
		var again time.Duration
		p.downlink.Do(func(schedule *pace.Pulls, now time.Time) { next, again = schedule.Next(now) })
		if next.Pull == nil {
			if again > 0 {
				p.timer.Reset(again)
			}
			return
		}
		b := p.bodies[next.Pull]
		b.session.send(&frame{Kind: kindPartRequest, ID: b.id, PartRequest: &partRequest{Offset: next.Offset, Bytes: next.Bytes}})
	}
}
