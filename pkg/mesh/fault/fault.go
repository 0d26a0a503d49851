// Package fault adds delay, loss and cuts to a transport. The faults of all
// wrapped transports are switched in one place while they run.
package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// connectTimeout is the longest time that a call to a cut peer waits.
const connectTimeout = time.Second

// Link is the quality of the path between two peers.
type Link struct {
	// Delay and Jitter make the one-way time: Delay plus up to Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the probability that a datagram, a request or a reply is lost.
	Loss float64
}

// Faults holds the faults of a set of transports.
type Faults struct {
	mu      sync.Mutex
	random  *rand.Rand
	local   Link
	remote  Link
	centres map[model.NodeID]model.DataCentre
	byAddr  map[string]model.NodeID
	cuts    map[[2]string]bool
	peers   map[model.NodeID]bool
}

// New returns faults without any effect until they are set. Equal seeds give
// equal random draws.
func New(seed uint64) *Faults {
	return &Faults{
		random:  rand.New(rand.NewPCG(seed, 0)),
		centres: make(map[model.NodeID]model.DataCentre),
		byAddr:  make(map[string]model.NodeID),
		cuts:    make(map[[2]string]bool),
		peers:   make(map[model.NodeID]bool),
	}
}

// SetLinks sets the links inside a data centre and between two of them.
func (f *Faults) SetLinks(local, remote Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.local, f.remote = local, remote
}

// Cut separates two data centres in both directions.
func (f *Faults) Cut(a, b model.DataCentre) { f.setCut(a, b, true) }

// Heal joins two data centres again.
func (f *Faults) Heal(a, b model.DataCentre) { f.setCut(a, b, false) }

// CutPeer separates one peer from all others.
func (f *Faults) CutPeer(id model.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[id] = true
}

// HealPeer joins one peer again.
func (f *Faults) HealPeer(id model.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, id)
}

func (f *Faults) setCut(a, b model.DataCentre, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{string(a), string(b)}] = cut
	f.cuts[[2]string{string(b), string(a)}] = cut
}

// path is the fate of one message.
type path struct {
	cut   bool
	lost  bool
	delay time.Duration
}

func (f *Faults) draw(from, to mesh.Peer) path {
	f.mu.Lock()
	defer f.mu.Unlock()
	toID := to.ID
	if toID == "" {
		toID = f.byAddr[to.Addr]
	}
	a, b := f.centres[from.ID], f.centres[toID]
	if f.peers[from.ID] || f.peers[toID] || f.cuts[[2]string{string(a), string(b)}] {
		return path{cut: true}
	}
	link := f.local
	if a != b {
		link = f.remote
	}
	p := path{delay: link.Delay}
	if link.Jitter > 0 {
		p.delay += time.Duration(f.random.Int64N(int64(link.Jitter)))
	}
	p.lost = link.Loss > 0 && f.random.Float64() < link.Loss
	return p
}

// Wrap returns a transport of a peer in the given data centre that suffers the
// faults. Both ends of a path must be wrapped.
func (f *Faults) Wrap(t mesh.Transport, dc model.DataCentre) *Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.centres[t.Self().ID] = dc
	f.byAddr[t.Self().Addr] = t.Self().ID
	return &Transport{Transport: t, faults: f}
}

// Transport is a transport with faults.
type Transport struct {
	mesh.Transport
	faults *Faults
}

var _ mesh.Meter = (*Transport)(nil)

// Traffic returns the traffic of the wrapped transport.
func (t *Transport) Traffic() mesh.Traffic {
	if m, ok := t.Transport.(mesh.Meter); ok {
		return m.Traffic()
	}
	return mesh.Traffic{}
}

// Call delays the request and the reply, or loses one of them. A call to a
// peer that is cut off fails with mesh.ErrUnreachable. A lost message is only
// noticed when ctx is done, so ctx needs a deadline.
func (t *Transport) Call(ctx context.Context, to mesh.Peer, kind mesh.Kind, request, reply any) error {
	there := t.faults.draw(t.Self(), to)
	if there.cut {
		wait(ctx, connectTimeout)
		return fmt.Errorf("call %q: path is cut: %w", to.ID, mesh.ErrUnreachable)
	}
	if there.lost {
		<-ctx.Done()
		return fmt.Errorf("call %q: request is lost: %w", to.ID, mesh.ErrTimeout)
	}
	if !wait(ctx, there.delay) {
		return fmt.Errorf("call %q: %w", to.ID, mesh.ErrTimeout)
	}
	err := t.Transport.Call(ctx, to, kind, request, reply)
	back := t.faults.draw(t.Self(), to)
	if back.lost || back.cut {
		<-ctx.Done()
		return fmt.Errorf("call %q: reply is lost: %w", to.ID, mesh.ErrTimeout)
	}
	if !wait(ctx, back.delay) {
		return fmt.Errorf("call %q: %w", to.ID, mesh.ErrTimeout)
	}
	return err
}

// Send delays or loses the datagram.
func (t *Transport) Send(to mesh.Peer, kind mesh.Kind, message any) error {
	p := t.faults.draw(t.Self(), to)
	if p.cut || p.lost {
		return nil
	}
	if p.delay == 0 {
		return t.Transport.Send(to, kind, message)
	}
	time.AfterFunc(p.delay, func() { _ = t.Transport.Send(to, kind, message) })
	return nil
}

// wait waits for d and reports whether ctx is still alive then.
func wait(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
