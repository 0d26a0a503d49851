package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
)

// errSlow is the cause of a connection that is closed while a message arrives.
var errSlow = errors.New("wire: message did not arrive in time")

// stream is a connection that this node opened. Requests go out on it and
// their replies come back in any order.
type stream struct {
	conn *websocket.Conn
	done chan struct{}

	mu      sync.Mutex
	pending map[uint64]chan codec.Envelope
	nextID  uint64
	lastUse time.Time
	// lastRead is the time of the last reply, or of the start.
	lastRead time.Time
	closed   bool
}

func newStream(conn *websocket.Conn) *stream {
	return &stream{
		conn:     conn,
		done:     make(chan struct{}),
		pending:  make(map[uint64]chan codec.Envelope),
		lastUse:  time.Now(),
		lastRead: time.Now(),
	}
}

// Call sends a request and waits for its reply.
func (t *Transport) Call(ctx context.Context, to mesh.Peer, kind mesh.Kind, request, reply any) error {
	body, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	s, err := t.stream(ctx, to)
	if err != nil {
		return err
	}
	e, err := t.exchange(ctx, s, &codec.Envelope{Kind: kind, TimeoutMillis: codec.TimeoutMillis(ctx), Body: body})
	if err != nil {
		return fmt.Errorf("request of kind %d to %s: %w", kind, to.Addr, err)
	}
	if err := codec.Result(&e, reply); err != nil {
		return fmt.Errorf("request of kind %d to %s: %w", kind, to.Addr, err)
	}
	return nil
}

// exchange writes a request and waits for the reply with its id.
func (t *Transport) exchange(ctx context.Context, s *stream, e *codec.Envelope) (codec.Envelope, error) {
	answer, err := s.register(e)
	if err != nil {
		return codec.Envelope{}, err
	}
	defer s.forget(e.ID)
	data, err := codec.EncodeEnvelope(e)
	if err != nil {
		return codec.Envelope{}, err
	}
	t.group.Go(func() { t.writeRequest(s, e.Kind, data) })
	select {
	case reply := <-answer:
		return reply, nil
	case <-s.done:
		return codec.Envelope{}, fmt.Errorf("connection closed: %w", mesh.ErrTimeout)
	case <-ctx.Done():
		s.closeIfSilent(time.Now())
		return codec.Envelope{}, fmt.Errorf("%w: %w", mesh.ErrTimeout, ctx.Err())
	}
}

// writeRequest writes in the background, so that a peer that does not read
// holds up no caller beyond its deadline. The number of requests in flight
// bounds the writers.
func (t *Transport) writeRequest(s *stream, kind mesh.Kind, data []byte) {
	if err := writeMessage(t.ctx, s.conn, data); err != nil {
		s.close()
		return
	}
	t.countSent(kind, len(data))
}

// closeIfSilent closes a connection on which nothing has arrived for long, so
// that the next request opens a new one. A host that lost its power ends its
// connections without a word.
func (s *stream) closeIfSilent(now time.Time) {
	s.mu.Lock()
	silent := now.Sub(s.lastRead) > silentTimeout
	s.mu.Unlock()
	if silent {
		s.close()
	}
}

// register gives the request an id and returns where its reply arrives.
func (s *stream) register(e *codec.Envelope) (<-chan codec.Envelope, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, fmt.Errorf("connection closed: %w", mesh.ErrUnreachable)
	}
	if len(s.pending) >= maxRequests {
		return nil, fmt.Errorf("%d requests in flight: %w", len(s.pending), mesh.ErrBusy)
	}
	s.nextID++
	e.ID = s.nextID
	answer := make(chan codec.Envelope, 1)
	s.pending[e.ID] = answer
	s.lastUse = time.Now()
	return answer, nil
}

func (s *stream) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
	s.lastUse = time.Now()
}

// deliver hands a reply to the request with its id. A reply whose request has
// been given up is dropped.
func (s *stream) deliver(e codec.Envelope) {
	s.mu.Lock()
	s.lastRead = time.Now()
	answer, ok := s.pending[e.ID]
	delete(s.pending, e.ID)
	s.mu.Unlock()
	if ok {
		answer <- e
	}
}

// idleSince returns the last use, and false while requests are in flight.
func (s *stream) idleSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUse, len(s.pending) == 0
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	_ = s.conn.CloseNow()
}

// readReplies delivers replies until the connection ends.
func (t *Transport) readReplies(s *stream, from string) {
	defer s.close()
	for {
		data, err := readMessage(t.ctx, s.conn)
		if err != nil {
			t.noteReadError(from, err)
			return
		}
		e, err := codec.DecodeEnvelope(data)
		if err == nil && e.IsRequest() {
			err = fmt.Errorf("request in place of a reply: %w", mesh.ErrMalformed)
		}
		if err != nil {
			t.refuse(refusalOf(err), from, err)
			return
		}
		t.countReceived(e.Kind, len(data))
		s.deliver(e)
	}
}

// noteReadError counts a connection that ended because the peer broke a bound.
func (t *Transport) noteReadError(from string, err error) {
	switch {
	case errors.Is(err, errSlow):
		t.refuse(refusedSlow, from, err)
	case errors.Is(err, websocket.ErrMessageTooBig):
		t.refuse(refusedTooLarge, from, err)
	}
}

// readMessage waits for a message; once it has begun it must arrive in time.
func readMessage(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	kind, r, err := conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fmt.Errorf("text message: %w", mesh.ErrMalformed)
	}
	late := time.AfterFunc(messageTimeout, func() { _ = conn.CloseNow() })
	data, err := io.ReadAll(r)
	if !late.Stop() {
		return nil, errSlow
	}
	return data, err
}

// writeMessage writes a message in bounded time. The caller's own deadline does
// not apply, since giving up half-way would end the connection for all.
func writeMessage(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}
