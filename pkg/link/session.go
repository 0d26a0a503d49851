package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

const (
	// pingInterval is the time between two checks of a connection, and the silence after which
	// the peer is pinged while calls are open. deadAfter is how long after an unanswered ping
	// such a connection is lost. A slow node answers a ping within a few hundred milliseconds.
	pingInterval = 250 * time.Millisecond
	deadAfter    = 900 * time.Millisecond
	// idlePing and idleDead are the silence before a ping and the timeout after it for a
	// connection without open calls.
	idlePing = 2 * time.Second
	idleDead = 3 * time.Second
	// writeTimeout bounds writing one frame. A peer that doesn't read for so long loses the
	// connection.
	writeTimeout = 3 * time.Second
)

// session is one open connection to another node, on either side.
type session struct {
	ws     *websocket.Conn
	queue  sendQueue
	uplink *pace.Uplink
	// large holds the large answers that wait to be written, in the order they were added.
	large transfers
	// unwritten counts the queued frames and large answers that are not completely written.
	unwritten atomic.Int64

	ctx    context.Context
	cancel context.CancelCauseFunc
	// incarnation is the peer's incarnation, set only on the side that dialled.
	incarnation int64
	// pulls is set on the side that dialled if the peer requests the bodies of calls in parts.
	pulls bool
	// downlink is told about the received frames, except the parts that this node has requested.
	downlink *pace.Downlink
	// lastReceived is when the last frame was received, in nanoseconds since start.
	lastReceived atomic.Int64
	start        time.Time
	// observeWait is called with the time that a frame spent in the queue; may be nil.
	observeWait func(time.Duration)
	// frames is the memory of the frames that are being read, and frameHeld that of the current one
	// of this connection.
	frames    *memory.Budget
	frameHeld *memory.Reservation
	// checkPeer fails once the peer's certificate is revoked; nil without TLS.
	checkPeer func() error
	// reportPanic is called with panics while a message is handled; may be nil.
	reportPanic guard.ReportFunc

	// pings counts the pings that were queued and the replies to them.
	pings pingCount

	mu sync.Mutex
	// received is closed when the next frame is received, and nil if nobody waits for one.
	received chan struct{}
	// timedOutAt is when isResponsive last timed out.
	timedOutAt time.Time
}

// newSession returns a session on an open WebSocket. The caller starts its loops.
func newSession(ctx context.Context, ws *websocket.Conn, self *Identity) *session {
	ws.SetReadLimit(maxFrameBytes)
	s := &session{ws: ws, uplink: self.Uplink, downlink: self.Downlink, start: time.Now(), observeWait: self.ObserveQueueTime, reportPanic: self.ReportPanic}
	s.frames, s.frameHeld = self.FrameBudget, self.FrameBudget.NewReservation()
	s.queue.added, s.large.added = make(chan struct{}, 1), make(chan struct{}, 1)
	s.pings.changed = make(chan struct{})
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// answer queues the answer to a call. A body of more than pace.PartBytes is sent in parts at
// the uplink's pace; only then is sent called, after the last part was taken from the queue.
func (s *session) answer(id uint64, a *Answer, sent func()) {
	if len(a.Body) <= pace.PartBytes {
		s.send(&frame{Kind: kindAnswer, ID: id, Answer: a})
		return
	}
	s.unwritten.Add(1)
	if !s.large.add(&transfer{id: id, answer: a, schedule: s.uplink.Schedule(len(a.Body)), sent: sent}) {
		s.unwritten.Add(-1)
	}
}

// cancelAnswer removes a large answer that is not completely written.
func (s *session) cancelAnswer(id uint64) {
	if s.large.cancel(id) {
		s.unwritten.Add(-1)
	}
}

// send queues a frame. It returns false if the connection has ended, and ends the connection
// if the queue is full.
func (s *session) send(f *frame) bool {
	select {
	case <-s.ctx.Done():
		return false
	default:
	}
	s.unwritten.Add(1)
	if !s.queue.add(f) {
		s.unwritten.Add(-1)
		s.cancel(fmt.Errorf("link: send queue is full with %d frames", maxQueuedFrames))
		return false
	}
	return true
}

// writeLoop writes queued frames and parts of large answers until the connection ends.
func (s *session) writeLoop() {
	defer s.large.closeQueue()
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
		if !f.continues {
			s.unwritten.Add(-1)
		}
	}
}

// nextFrame waits for the next frame to write. Queued frames have priority; a part of a large
// answer follows when the uplink's schedule allows it.
func (s *session) nextFrame(timer *time.Timer) (*frame, error) {
	for {
		if q, ok := s.queue.take(); ok {
			return s.dequeue(q), nil
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
		case <-s.queue.added:
		case <-due:
			if f := s.large.next(t); f != nil {
				return f, nil
			}
		case <-s.large.added:
		}
	}
}

// dequeue records how long a frame was queued and returns it.
func (s *session) dequeue(q queuedFrame) *frame {
	if s.observeWait != nil {
		s.observeWait(time.Since(q.queuedAt))
	}
	return q.frame
}

// write encodes and writes a frame. Frames of large answers and parts of bodies are already
// accounted for in the uplink's schedule; all others are reported to the uplink here.
func (s *session) write(f *frame) error {
	data, err := encode(f)
	if err != nil {
		return err
	}
	if f.Kind != kindPart && f.Kind != kindBodyPart && (f.Kind != kindAnswer || f.Answer.BodySize == 0) {
		s.uplink.RecordSent(len(data))
	}
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	return s.ws.Write(ctx, websocket.MessageBinary, data)
}

// readLoop passes each frame to handle until the connection ends or handle fails.
func (s *session) readLoop(handle func(*frame) error) {
	for {
		data, err := s.readFrame()
		if err != nil {
			s.frameHeld.Release()
			s.cancel(err)
			return
		}
		s.lastReceived.Store(int64(time.Since(s.start)))
		s.notifyReceived()
		err = s.handleMessage(data, handle)
		s.frameHeld.Release()
		if err != nil {
			s.cancel(err)
			return
		}
	}
}

// frameReserve is the share of the memory for frames that large frames leave to others.
const frameReserve = 0.25

// readFrame reads the next frame. It fails if there is no memory left for it.
func (s *session) readFrame() ([]byte, error) {
	_, r, err := s.ws.Reader(s.ctx)
	if err != nil {
		return nil, err
	}
	b := memory.NewBuffer(s.frameHeld)
	defer b.Close()
	reserve := int64(frameReserve * float64(s.frames.Limit()))
	for {
		switch err := b.ReadOnce(r, reserve); {
		case errors.Is(err, io.EOF):
			return b.Bytes(), nil
		case errors.Is(err, memory.ErrExhausted):
			return nil, fmt.Errorf("link: no memory for a frame after %d bytes: %w", b.Len(), err)
		case err != nil:
			return nil, err
		}
	}
}

// handleMessage decodes and handles one message. An error ends the connection. So does a
// panic, because it is unknown which of the message's effects took place.
func (s *session) handleMessage(data []byte, handle func(*frame) error) error {
	var err error
	panicked := guard.Run("message of a node", s.reportPanic, func() {
		var f *frame
		if f, err = decode(data); err != nil {
			return
		}
		if f.Kind != kindBodyPart {
			s.downlink.RecordReceived(len(data))
		}
		switch f.Kind {
		case kindPing:
			s.send(&frame{Kind: kindPong})
		case kindPong:
			s.pings.recordReply()
		default:
			err = handle(f)
		}
	})
	return errors.Join(panicked, err)
}

// notifyReceived wakes the calls of isResponsive that wait for a frame.
func (s *session) notifyReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received != nil {
		close(s.received)
		s.received = nil
	}
}

const (
	// recentlyReceived is how long after a frame was received the peer counts as responsive
	// without a ping. livenessTimeout is how long the peer may take to reply to a ping. A
	// fully loaded node with a sixth of a core replies within about 100 ms.
	recentlyReceived = 300 * time.Millisecond
	livenessTimeout  = 250 * time.Millisecond
	// unresponsiveFor is how long after a timeout the peer counts as unresponsive without
	// another ping, unless a frame is received.
	unresponsiveFor = time.Second
)

// isResponsive reports whether a frame was received recently or the peer replies to a ping.
// Concurrent calls share one ping.
func (s *session) isResponsive(ctx context.Context) bool {
	if time.Since(s.start)-time.Duration(s.lastReceived.Load()) < recentlyReceived {
		return true
	}
	s.mu.Lock()
	if time.Since(s.timedOutAt) < unresponsiveFor && s.received != nil {
		s.mu.Unlock()
		return false
	}
	first := s.received == nil
	if first {
		s.received = make(chan struct{})
	}
	received := s.received
	s.mu.Unlock()
	if first {
		if _, ok := s.ping(); !ok {
			return false
		}
	}
	limit := time.NewTimer(livenessTimeout)
	defer limit.Stop()
	select {
	case <-received:
		return true
	case <-limit.C:
		s.mu.Lock()
		s.timedOutAt = time.Now()
		s.mu.Unlock()
	case <-s.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// ping queues a ping and returns its number, and false if the connection has ended.
func (s *session) ping() (number uint64, ok bool) {
	return s.pings.queue(func() bool { return s.send(&frame{Kind: kindPing}) })
}

// isDelivered waits until the peer has handled all frames that were queued before the call. It
// returns false if the connection or ctx ends first.
func (s *session) isDelivered(ctx context.Context) bool {
	number, ok := s.ping()
	for ok {
		replies, changed := s.pings.replies()
		if replies >= number {
			return true
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// pingCount counts the pings of a connection. A peer handles frames in their order and replies
// to each ping once, so as many replies as pings mean that it has handled what was sent before.
type pingCount struct {
	mu              sync.Mutex
	queued, replied uint64
	// changed is closed and replaced with each reply.
	changed chan struct{}
}

// queue calls send, which queues a ping, and returns the number of that ping.
func (p *pingCount) queue(send func() bool) (number uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !send() {
		return 0, false
	}
	p.queued++
	return p.queued, true
}

// recordReply counts a reply.
func (p *pingCount) recordReply() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replied++
	close(p.changed)
	p.changed = make(chan struct{})
}

// replies returns the number of replies and a channel that is closed at the next one.
func (p *pingCount) replies() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replied, p.changed
}

// pingAction is what to do with a connection after a check.
type pingAction int

const (
	noAction pingAction = iota
	pingNow
	peerLost
)

// pinger decides when a silent peer is pinged and when it is lost. All times are measured
// from the start of the connection.
type pinger struct {
	// sentAt is when the last ping was sent.
	sentAt time.Duration
	// waiting is set while nothing was received since that ping.
	waiting bool
}

// next returns the action at time now, given when the last frame was received and whether
// calls are open.
func (p *pinger) next(now, received time.Duration, hasOpenCalls bool) pingAction {
	interval, dead := idlePing, idleDead
	if hasOpenCalls {
		interval, dead = pingInterval, deadAfter
	}
	if p.waiting && received >= p.sentAt {
		p.waiting = false
	}
	switch {
	case p.waiting && now-p.sentAt >= dead:
		return peerLost
	case p.waiting || now-received < interval:
		return noAction
	}
	p.sentAt, p.waiting = now, true
	return pingNow
}

// closeConn closes the connection without a closing handshake.
func (s *session) closeConn() {
	s.cancel(nil)
	_ = s.ws.CloseNow()
}
