package link

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

const (
	// sendQueue bounds the frames that wait to be written on one connection.
	sendQueue = 512
	// pingInterval is the time between two looks at a connection, and deadAfter
	// the silence after which it counts as lost while calls are open on it. A slow
	// node still answers a ping within some hundred milliseconds.
	pingInterval = 250 * time.Millisecond
	deadAfter    = 900 * time.Millisecond
	// idlePing and idleDead are the same for a connection without open calls.
	idlePing = 2 * time.Second
	idleDead = 3 * time.Second
	// writeTimeout ends a connection whose peer does not read.
	writeTimeout = 3 * time.Second
)

// session is one open connection to another node.
type session struct {
	ws     *websocket.Conn
	out    chan *frame
	ctx    context.Context
	cancel context.CancelCauseFunc
	// incarnation is that of the peer, on the side that dialled.
	incarnation int64
	// heard is when the last frame came in, as nanoseconds since start.
	heard atomic.Int64
	start time.Time
}

func newSession(ctx context.Context, ws *websocket.Conn) *session {
	ws.SetReadLimit(maxFrameBytes)
	s := &session{ws: ws, out: make(chan *frame, sendQueue), start: time.Now()}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// send queues a frame and reports whether the connection takes it.
func (s *session) send(f *frame) bool {
	select {
	case <-s.ctx.Done():
		return false
	default:
	}
	select {
	case s.out <- f:
		return true
	default:
		s.cancel(fmt.Errorf("link: %d frames wait to be written", sendQueue))
		return false
	}
}

// writeLoop writes the queued frames until the connection ends.
func (s *session) writeLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.out:
			if err := s.write(f); err != nil {
				s.cancel(err)
				return
			}
		}
	}
}

func (s *session) write(f *frame) error {
	data, err := encode(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	return s.ws.Write(ctx, websocket.MessageBinary, data)
}

// readLoop hands each frame to take until the connection ends.
func (s *session) readLoop(take func(*frame)) {
	for {
		_, data, err := s.ws.Read(s.ctx)
		if err != nil {
			s.cancel(err)
			return
		}
		s.heard.Store(int64(time.Since(s.start)))
		f, err := decode(data)
		if err != nil {
			s.cancel(err)
			return
		}
		switch f.Kind {
		case kindPing:
			s.send(&frame{Kind: kindPong})
		case kindPong:
		default:
			take(f)
		}
	}
}

// verdict is what follows a look at a connection.
type verdict int

const (
	wait verdict = iota
	pingNow
	peerLost
)

// pinger decides when a silent peer is pinged and when it is lost. Times are
// counted from the start of the connection.
type pinger struct {
	// sent is when the first ping that nothing followed was sent.
	sent    time.Duration
	waiting bool
}

// look decides by the time, by when the peer was heard last, and by whether
// calls are open.
func (p *pinger) look(now, heard time.Duration, busy bool) verdict {
	interval, dead := idlePing, idleDead
	if busy {
		interval, dead = pingInterval, deadAfter
	}
	if p.waiting && heard >= p.sent {
		p.waiting = false
	}
	switch {
	case p.waiting && now-p.sent >= dead:
		return peerLost
	case p.waiting || now-heard < interval:
		return wait
	}
	p.sent, p.waiting = now, true
	return pingNow
}

// end closes the connection.
func (s *session) end() {
	s.cancel(nil)
	_ = s.ws.CloseNow()
}
