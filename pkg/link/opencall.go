package link

import (
	"context"
	"fmt"
	"time"
)

// openCall is a call whose answer has not come.
type openCall struct {
	call   *Call
	answer chan *Answer
	sentAt time.Time
	// arriving is the part of a large answer that has come, on which only the reader of
	// the connection works.
	arriving *arriving
}

// end hands the answer over, or releases it if there was one already.
func (o *openCall) end(a *Answer) {
	select {
	case o.answer <- a:
	default:
		a.Held.Release()
	}
}

// await waits for the answer of an open call.
func (p *Peer) await(ctx context.Context, id uint64, o *openCall, patience time.Duration) (*Answer, error) {
	for {
		p.mu.Lock()
		s, changed := p.session, p.changed
		p.mu.Unlock()
		var lost <-chan time.Time
		var timer *time.Timer
		if s == nil {
			timer = time.NewTimer(patience)
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

// cancelCall tells the peer that nobody waits for the call any more.
func (p *Peer) cancelCall(id uint64) {
	if s := p.current(); s != nil {
		s.send(&frame{Kind: kindCancel, ID: id})
	}
}

// forget ends a call. An answer that nobody has taken is released.
func (p *Peer) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.open[id]; o != nil {
		select {
		case a := <-o.answer:
			a.Held.Release()
		default:
		}
		o.arriving.drop()
	}
	delete(p.open, id)
	p.used = time.Now()
}

// take handles a frame from the peer, and returns an error if the connection cannot
// be used further.
func (p *Peer) take(f *frame) error {
	switch {
	case f.Kind == kindAnswer && f.Answer != nil:
		p.takeAnswer(f.ID, f.Answer)
	case f.Kind == kindPart && f.Part != nil:
		return p.takePart(f.ID, f.Part)
	case f.Kind == kindNews && f.News != nil:
		p.events.News(p.node, f.News, p.SendNews)
	}
	return nil
}

func (p *Peer) takeAnswer(id uint64, a *Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.open[id]
	if o == nil {
		return
	}
	o.arriving.drop() // of a connection before
	o.arriving = nil
	if a.Size > len(a.Body) {
		var refused *Answer
		if o.arriving, refused = newArriving(a, p.self.Answers); refused == nil {
			return
		}
		a = refused
	}
	o.end(a)
}

func (p *Peer) takePart(id uint64, next *part) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.open[id]
	if o == nil || o.arriving == nil {
		return nil
	}
	whole, err := o.arriving.add(next)
	if err != nil {
		return fmt.Errorf("answer of %s: %w", p.node, err)
	}
	if whole != nil {
		o.arriving = nil
		o.end(whole)
	}
	return nil
}
