package link

import (
	"context"
	"fmt"
	"time"
)

// openCall is a call that was sent and has no answer yet.
type openCall struct {
	call   *Call
	answer chan *Answer
	sentAt time.Time
	// partial is the received start of a large answer, nil if there is none. Only the
	// connection's read loop changes it.
	partial *partialAnswer
	// bodySent is set once the end of the body was sent. Before, the call cannot have run. ended is
	// set when the result of the call is known.
	bodySent, ended bool
	// requested is the number of bytes of the body that were requested on the newest connection.
	requested int
}

// complete delivers the answer to the waiting call. If one was delivered already, this one is
// released.
func (o *openCall) complete(a *Answer) {
	select {
	case o.answer <- a:
	default:
		a.Memory.Release()
	}
}

// await waits for the answer to an open call. It returns ErrLost if the peer stays
// disconnected for reconnectWait or ctx ends.
func (p *Peer) await(ctx context.Context, id uint64, o *openCall, reconnectWait time.Duration) (*Answer, error) {
	for {
		p.mu.Lock()
		s, changed := p.session, p.changed
		p.mu.Unlock()
		var lost <-chan time.Time
		var timer *time.Timer
		if s == nil {
			timer = time.NewTimer(reconnectWait)
			lost = timer.C
		}
		select {
		case a := <-o.answer:
			return a, nil
		case <-changed:
		case <-lost:
			return nil, fmt.Errorf("%s: %w", p.node, ErrLost)
		case <-ctx.Done():
			p.cancelCall(id)
			return nil, fmt.Errorf("%s: %w: %w", p.node, ErrLost, ctx.Err())
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// cancelCall tells the peer that the caller no longer waits for the answer.
func (p *Peer) cancelCall(id uint64) {
	if s := p.current(); s != nil {
		s.send(&frame{Kind: kindCancel, ID: id})
	}
}

// removeCall removes a call from the open ones and releases an answer that was not consumed.
func (p *Peer) removeCall(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.open[id]; o != nil {
		select {
		case a := <-o.answer:
			a.Memory.Release()
		default:
		}
		o.partial.release()
	}
	delete(p.open, id)
	p.lastCallEnd = time.Now()
}

// handleFrame handles a frame from the peer. An error means that the connection must be
// closed.
func (p *Peer) handleFrame(f *frame) error {
	switch {
	case f.Kind == kindAnswer && f.Answer != nil:
		p.handleAnswer(f.ID, f.Answer)
	case f.Kind == kindPart && f.Part != nil:
		return p.handlePart(f.ID, f.Part)
	case f.Kind == kindPartRequest && f.PartRequest != nil:
		return p.handlePartRequest(f.ID, f.PartRequest)
	case f.Kind == kindStateUpdate && f.StateUpdate != nil:
		p.events.StateUpdate(p.node, f.StateUpdate, p.SendStateUpdate)
	}
	return nil
}

// handleAnswer completes a call, or begins to assemble an answer that comes in parts. The further
// parts of a malformed answer are ignored.
func (p *Peer) handleAnswer(id uint64, a *Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.open[id]
	if o == nil {
		return
	}
	o.partial.release() // it began on an earlier connection
	o.partial = nil
	if a.isMalformed() {
		a = &Answer{Outcome: Unknown, Reason: ReasonAnswerMalformed, ReachedUpstream: true, Load: a.Load}
	}
	if a.BodySize > len(a.Body) {
		var refused *Answer
		if o.partial, refused = newPartialAnswer(a, p.self.AnswerBudget); refused == nil {
			return
		}
		a = refused
	}
	o.complete(a)
}

// handlePart adds a part to an answer and completes the call after the last one.
func (p *Peer) handlePart(id uint64, next *part) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.open[id]
	if o == nil || o.partial == nil {
		return nil
	}
	whole, err := o.partial.add(next)
	if err != nil {
		return fmt.Errorf("answer of %s: %w", p.node, err)
	}
	if whole != nil {
		o.partial = nil
		o.complete(whole)
	}
	return nil
}
