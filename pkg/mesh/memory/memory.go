// Package memory connects the nodes of one process without sockets. Messages
// are encoded and decoded as on the network. It uses no goroutine beyond the
// running handlers, so it works inside testing/synctest bubbles.
package memory

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
)

// secret seals the datagrams of every in-process network.
var secret = []byte("in-process network")

// Network holds the transports of one process by address.
type Network struct {
	mu    sync.RWMutex
	peers map[string]*Transport
}

// NewNetwork returns a network without peers.
func NewNetwork() *Network {
	return &Network{peers: make(map[string]*Transport)}
}

// Transport attaches a peer and returns its transport. A peer with the same
// address is replaced, as when a process restarts.
func (n *Network) Transport(self mesh.Peer) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		network: n,
		self:    self,
		ctx:     ctx,
		cancel:  cancel,
	}
	n.mu.Lock()
	old := n.peers[self.Addr]
	n.peers[self.Addr] = t
	n.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	return t
}

func (n *Network) find(to mesh.Peer) (*Transport, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	t, ok := n.peers[to.Addr]
	if !ok {
		return nil, fmt.Errorf("no peer at %q: %w", to.Addr, mesh.ErrUnreachable)
	}
	if to.ID != "" && t.self.ID != to.ID {
		return nil, fmt.Errorf("peer at %q is %q, not %q: %w", to.Addr, t.self.ID, to.ID, mesh.ErrUnreachable)
	}
	return t, nil
}

// Transport is the end of one peer.
type Transport struct {
	mesh.Handlers

	network *Network
	self    mesh.Peer
	counter mesh.Counter
	ctx     context.Context
	cancel  context.CancelFunc
}

var (
	_ mesh.Transport = (*Transport)(nil)
	_ mesh.Meter     = (*Transport)(nil)
)

// Stop detaches the peer, as when its process is killed: its calls fail, calls
// to it are unreachable, and the contexts of its running handlers are done.
func (t *Transport) Stop() {
	t.cancel()
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.network.peers[t.self.Addr] == t {
		delete(t.network.peers, t.self.Addr)
	}
}

// Self returns the local peer.
func (t *Transport) Self() mesh.Peer { return t.self }

// Traffic returns the bytes of the encoded messages, by kind.
func (t *Transport) Traffic() mesh.Traffic { return t.counter.Traffic() }

// Call sends a request and waits for the reply.
func (t *Transport) Call(ctx context.Context, to mesh.Peer, kind mesh.Kind, request, reply any) error {
	if t.ctx.Err() != nil {
		return fmt.Errorf("transport of %q is stopped: %w", t.self.ID, mesh.ErrUnreachable)
	}
	body, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	data, err := codec.EncodeEnvelope(&codec.Envelope{Kind: kind, TimeoutMillis: codec.TimeoutMillis(ctx), Body: body})
	if err != nil {
		return err
	}
	peer, err := t.network.find(to)
	if err != nil {
		return err
	}
	t.counter.Sent(kind, len(data))
	answer, err := t.exchange(ctx, peer, data)
	if err != nil {
		return fmt.Errorf("call %q: %w", peer.self.ID, err)
	}
	t.counter.Received(kind, len(answer))
	e, err := codec.DecodeEnvelope(answer)
	if err != nil {
		return err
	}
	return codec.Result(&e, reply)
}

// exchange runs the peer's handler and waits for its answer, or until the
// caller's time is over or either side stops.
func (t *Transport) exchange(ctx context.Context, peer *Transport, data []byte) ([]byte, error) {
	handlerCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(peer.ctx, cancel)
	answers := make(chan []byte, 1)
	go func() {
		defer cancel()
		defer stop()
		answers <- peer.serve(handlerCtx, t.self, data)
	}()
	var answer []byte
	select {
	case answer = <-answers:
	case <-ctx.Done():
	case <-peer.ctx.Done():
	case <-t.ctx.Done():
		cancel()
	}
	// An answer that comes at the very end of the caller's time is late.
	if answer == nil || ctx.Err() != nil || peer.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", mesh.ErrTimeout, context.Cause(handlerCtx))
	}
	return answer, nil
}

// serve handles one encoded request and returns the encoded reply.
func (t *Transport) serve(ctx context.Context, from mesh.Peer, data []byte) []byte {
	e, err := codec.DecodeEnvelope(data)
	if err != nil {
		return codec.EncodeReply(codec.Reply(&e, nil, err))
	}
	t.counter.Received(e.Kind, len(data))
	h, ok := t.Request(e.Kind)
	if !ok {
		err := fmt.Errorf("kind %d: %w", e.Kind, mesh.ErrUnknownKind)
		return codec.EncodeReply(codec.Reply(&e, nil, err))
	}
	reply, err := h(ctx, from, e.Body)
	answer := codec.EncodeReply(codec.Reply(&e, reply, err))
	t.counter.Sent(e.Kind, len(answer))
	return answer
}

// Send sends one datagram.
func (t *Transport) Send(to mesh.Peer, kind mesh.Kind, message any) error {
	if t.ctx.Err() != nil {
		return fmt.Errorf("transport of %q is stopped: %w", t.self.ID, mesh.ErrUnreachable)
	}
	body, err := codec.Marshal(message)
	if err != nil {
		return err
	}
	data, err := codec.SealDatagram(&codec.Datagram{Kind: kind, From: t.self.ID, Body: body}, secret)
	if err != nil {
		return err
	}
	t.counter.Sent(kind, len(data))
	peer, err := t.network.find(to)
	if errors.Is(err, mesh.ErrUnreachable) {
		return nil // like a datagram to a host that is gone
	}
	go peer.receive(t.self, data)
	return nil
}

func (t *Transport) receive(from mesh.Peer, data []byte) {
	d, err := codec.OpenDatagram(data, secret)
	if err != nil || t.ctx.Err() != nil {
		return
	}
	t.counter.Received(d.Kind, len(data))
	if h, ok := t.Datagram(d.Kind); ok {
		h(from, d.Body)
	}
}
