package link

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
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
	out    chan queued
	uplink *pace.Uplink
	// large holds the large answers that wait to be written, in their order.
	large  transfers
	ctx    context.Context
	cancel context.CancelCauseFunc
	// incarnation is that of the peer, on the side that dialled.
	incarnation int64
	// heard is when the last frame came in, as nanoseconds since start.
	heard atomic.Int64
	start time.Time
	// waited is told how long short frames waited to be written, if it is not nil.
	waited func(time.Duration)
	// allowed returns an error once the other side's certificate is withdrawn; nil where
	// connections are not sealed.
	allowed func() error
	// panicked is told of unexpected errors while a message is handled.
	panicked guard.Report

	mu sync.Mutex
	// pong is closed with the next frame that comes in, nil if nobody waits for one, and
	// silentAt is when somebody waited in vain.
	pong     chan struct{}
	silentAt time.Time
}

// queued is a short frame that waits to be written.
type queued struct {
	*frame
	at time.Time
}

func newSession(ctx context.Context, ws *websocket.Conn, self *Identity) *session {
	ws.SetReadLimit(maxFrameBytes)
	s := &session{ws: ws, out: make(chan queued, sendQueue), uplink: self.Uplink, start: time.Now(), waited: self.Waited, panicked: self.Panicked}
	s.large.added = make(chan struct{}, 1)
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// answer queues the answer to a call. A large one is sent in parts at the pace of the
// link, and sent is told when it was.
func (s *session) answer(id uint64, a *Answer, sent func()) {
	if len(a.Body) <= pace.PartBytes {
		s.send(&frame{Kind: kindAnswer, ID: id, Answer: a})
		return
	}
	s.large.add(&transfer{id: id, answer: a, schedule: s.uplink.Schedule(len(a.Body)), sent: sent})
}

// send queues a frame and reports whether the connection takes it.
func (s *session) send(f *frame) bool {
	select {
	case <-s.ctx.Done():
		return false
	default:
	}
	select {
	case s.out <- queued{f, time.Now()}:
		return true
	default:
		s.cancel(fmt.Errorf("link: %d frames wait to be written", sendQueue))
		return false
	}
}

// writeLoop writes the queued frames, and the large answers between them, until the
// connection ends.
func (s *session) writeLoop() {
	defer s.large.end()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f, err := s.nextFrame(timer)
		if err == nil {
			err = s.write(f)
		}
		if err != nil {
			s.cancel(err)
			return
		}
	}
}

// nextFrame waits for the next frame to write: those of the queue go first, and a
// part of a large answer when its time on the link has come.
func (s *session) nextFrame(timer *time.Timer) (*frame, error) {
	for {
		select {
		case q := <-s.out:
			return s.dequeue(q), nil
		default:
		}
		var due <-chan time.Time
		t := s.large.first()
		if t != nil {
			timer.Reset(time.Until(t.schedule.Due()))
			due = timer.C
		}
		select {
		case <-s.ctx.Done():
			return nil, context.Cause(s.ctx)
		case q := <-s.out:
			return s.dequeue(q), nil
		case <-due:
			return s.large.next(t), nil
		case <-s.large.added:
		}
	}
}

func (s *session) dequeue(q queued) *frame {
	if s.waited != nil {
		s.waited(time.Since(q.at))
	}
	return q.frame
}

func (s *session) write(f *frame) error {
	data, err := encode(f)
	if err != nil {
		return err
	}
	if f.Kind != kindPart && (f.Kind != kindAnswer || f.Answer.Size == 0) {
		s.uplink.Sent(len(data))
	}
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	return s.ws.Write(ctx, websocket.MessageBinary, data)
}

// readLoop hands each frame to take until the connection ends or take fails.
func (s *session) readLoop(take func(*frame) error) {
	for {
		_, data, err := s.ws.Read(s.ctx)
		if err != nil {
			s.cancel(err)
			return
		}
		s.heard.Store(int64(time.Since(s.start)))
		s.answered()
		if err := s.takeMessage(data, take); err != nil {
			s.cancel(err)
			return
		}
	}
}

// takeMessage handles one message. A failure ends the connection, an unexpected one as
// well: what the message was meant to change is not known.
func (s *session) takeMessage(data []byte, take func(*frame) error) error {
	var err error
	panicked := guard.Run("message of a node", s.panicked, func() {
		var f *frame
		if f, err = decode(data); err != nil {
			return
		}
		switch f.Kind {
		case kindPing:
			s.send(&frame{Kind: kindPong})
		case kindPong:
		default:
			err = take(f)
		}
	})
	return errors.Join(panicked, err)
}

// answered wakes those that wait for a sign of the peer.
func (s *session) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pong != nil {
		close(s.pong)
		s.pong = nil
	}
}

const (
	// freshFor is how long after a peer was heard an order is sent to it without asking
	// first whether it lives, and aliveWait how long it has to answer that. A node with a
	// sixth of a core and full of work answers within some 100 ms.
	freshFor  = 300 * time.Millisecond
	aliveWait = 250 * time.Millisecond
	// silentFor is how long a peer that did not answer counts as gone for orders, until
	// it is heard or asked again.
	silentFor = time.Second
)

// isAlive reports whether the peer was heard just now or answers a ping.
func (s *session) isAlive(ctx context.Context) bool {
	if time.Since(s.start)-time.Duration(s.heard.Load()) < freshFor {
		return true
	}
	s.mu.Lock()
	if time.Since(s.silentAt) < silentFor && s.pong != nil {
		s.mu.Unlock()
		return false
	}
	first := s.pong == nil
	if first {
		s.pong = make(chan struct{})
	}
	pong := s.pong
	s.mu.Unlock()
	if first && !s.send(&frame{Kind: kindPing}) {
		return false
	}
	limit := time.NewTimer(aliveWait)
	defer limit.Stop()
	select {
	case <-pong:
		return true
	case <-limit.C:
		s.mu.Lock()
		s.silentAt = time.Now()
		s.mu.Unlock()
	case <-s.ctx.Done():
	case <-ctx.Done():
	}
	return false
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
