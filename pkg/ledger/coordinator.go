package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/order"
)

// run polls the coordinators of the hosted services until ctx ends.
func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.noteDeaths()
		if s.stopping() {
			s.cutOnce(ctx)
		}
		s.tick(ctx)
		s.pause(ctx, tickInterval/2+rand.N(tickInterval))
	}
}

// pause waits for d, or less if this node announces its stop meanwhile.
func (s *Service) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	stopping := s.stopping()
	for {
		changed := s.source.Changed()
		if !stopping && s.stopping() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
			s.noteDeaths()
		}
	}
}

// stopping reports whether this node has announced its stop.
func (s *Service) stopping() bool {
	m, ok := s.source.View().Members[s.self.Node]
	return ok && m.Stopping
}

func (s *Service) tick(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range s.hosted() {
		wg.Go(func() { s.maintain(ctx, name) })
	}
	wg.Wait()
}

// maintain keeps the ranges of a service extended and evenly spread.
func (s *Service) maintain(ctx context.Context, name string) {
	s.refresh(ctx, name)
	if !s.stopping() {
		s.rebalance(ctx, name)
	}
}

// rebalance gives keys born from now on to owners with fewer shards, and all of
// them if this node runs no upstream of the service any more.
func (s *Service) rebalance(ctx context.Context, name string) {
	takes := s.takes(name)
	others := s.successors(name)
	s.mu.Lock()
	svc := s.service(name)
	excess := svc.table.Excess(s.self, svc.takers)
	owned := svc.table.Load()[s.self]
	s.mu.Unlock()
	if !takes {
		excess = nil // Cut takes this for all shards.
	}
	if owned == 0 || len(others) == 0 || takes && len(excess) == 0 {
		return
	}
	if err := s.cut(ctx, svc, excess); err != nil {
		s.opts.Log.Emit(event.OrderWriteFailed, event.F("service", name), event.F("error", err))
		return
	}
	s.announce(ctx, svc)
}

// refresh extends the ranges of a service as its coordinator, or polls the coordinator.
func (s *Service) refresh(ctx context.Context, name string) {
	peers := ranked(hosting(s.source.View(), name), name)
	for _, p := range peers {
		if p.ID == s.self.Node {
			s.coordinate(ctx, name)
			return
		}
		if s.poll(ctx, name, p, false) == nil {
			return
		}
	}
}

// newPoll returns what this node asks about a service.
func (s *Service) newPoll(name string, create bool) pollRequest {
	m, ok := s.source.View().Members[s.self.Node]
	takes := s.takes(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(name)
	req := pollRequest{
		Service: name, Takes: takes, Create: create,
		Known: svc.table.Version, Layout: svc.layout, Takers: digest(svc.takers),
	}
	if ok && hosts(m, name) || len(svc.book.Owned()) > 0 {
		req.Owner = s.self
	}
	return req
}

// poll asks a peer for the table of a service.
func (s *Service) poll(ctx context.Context, name string, p mesh.Peer, create bool) error {
	req := s.newPoll(name, create)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply pollReply
	if err := s.transport.Call(ctx, p, mesh.KindOrderAdmission, req, &reply); err != nil {
		return fmt.Errorf("ledger: poll %q for %q: %w", p.ID, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(name)
	svc.checked = time.Now()
	if len(reply.Takers) > 0 {
		svc.takers = reply.Takers
	}
	if !reply.Down {
		svc.outage.note(time.Now(), nil)
	} else if !svc.outage.failing() {
		svc.outage.note(time.Now(), errCoordinatorDown)
	}
	if reply.Table != nil {
		s.adopt(svc, *reply.Table, "")
	}
	if reply.Extension == nil {
		return nil
	}
	t, err := svc.table.Extended(*reply.Extension)
	if err != nil {
		return fmt.Errorf("ledger: poll %q for %q: %w", p.ID, name, err)
	}
	s.adopt(svc, t, "")
	return nil
}

// handlePoll answers any node with the table that this one has.
func (s *Service) handlePoll(ctx context.Context, _ mesh.Peer, body []byte) (any, error) {
	var req pollRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, fmt.Errorf("ledger: poll: %w: %w", mesh.ErrMalformed, err)
	}
	if s.source == nil || !s.takes(req.Service) {
		return nil, fmt.Errorf("ledger: service %q is not hosted here: %w", req.Service, errNotHosted)
	}
	s.noteAlive(req)
	s.mu.Lock()
	known := s.service(req.Service).table.Version > 0
	s.mu.Unlock()
	if !known && req.Create {
		if err := s.create(ctx, req.Service); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(req.Service)
	reply := pollReply{Down: svc.outage.failing()}
	if takers := s.alive(svc, true); digest(takers) != req.Takers {
		reply.Takers = takers
	}
	switch {
	case svc.table.Version <= req.Known:
	case req.Layout == svc.layout:
		e := svc.table.Extension()
		reply.Extension = &e
	default:
		t := svc.table
		reply.Table = &t
	}
	return reply, nil
}

// digest returns a short hash of a sorted list of owners.
func digest(owners []order.Owner) uint64 {
	h := xxhash.New()
	for _, o := range owners {
		_, _ = h.WriteString(string(o.Node) + "\x00" + o.Instance + "\x00")
	}
	return h.Sum64()
}

// noteAlive notes that an owner is alive.
func (s *Service) noteAlive(req pollRequest) {
	if req.Owner.Node == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(req.Service).heard[req.Owner] = contact{at: time.Now(), takes: req.Takes}
}

// alive returns this owner and those that polled it lately; with takers, only
// those that can be given further shards. s.mu must be held.
func (s *Service) alive(svc *service, takers bool) []order.Owner {
	var list []order.Owner
	if !takers || s.takes(svc.name) {
		list = append(list, s.self)
	}
	for o, c := range svc.heard {
		if time.Since(c.at) > ownerTimeout {
			delete(svc.heard, o)
			continue
		}
		if !takers || c.takes {
			list = append(list, o)
		}
	}
	sortOwners(list)
	return list
}

// coordinate extends the ranges of a service if that is due.
func (s *Service) coordinate(ctx context.Context, name string) {
	s.mu.Lock()
	svc := s.service(name)
	svc.takers = s.alive(svc, true)
	ready := svc.outage.ready(time.Now())
	s.mu.Unlock()
	if !ready {
		return
	}
	create := s.opts.TakesOrders != nil && s.opts.TakesOrders(name)
	err := s.extend(ctx, svc, create)
	s.mu.Lock()
	svc.outage.note(time.Now(), err)
	s.mu.Unlock()
	if err != nil {
		s.opts.Log.Emit(event.OrderWriteFailed, event.F("service", name), event.F("error", err))
	}
}

// create records the first owners of a service.
func (s *Service) create(ctx context.Context, name string) error {
	s.mu.Lock()
	svc := s.service(name)
	s.mu.Unlock()
	return s.extend(ctx, svc, true)
}

func (s *Service) extend(ctx context.Context, svc *service, create bool) error {
	var before, after order.Table
	_, err := s.update(ctx, svc, create, func(t order.Table) (order.Table, bool) {
		s.mu.Lock()
		live, takers := s.alive(svc, false), s.alive(svc, true)
		s.mu.Unlock()
		now := order.BirthOf(time.Now())
		before = t
		next, changed := t.Prune(now.Add(-s.opts.Limits.Retention)).Extend(now, s.opts.Lookahead, live, takers)
		after = next
		return next, changed
	})
	if err != nil {
		return err
	}
	if moved(before, after) {
		s.opts.Log.Emit(event.OrderOwnerChanged, event.F("service", svc.name))
		s.announce(ctx, svc)
	}
	return nil
}

// moved reports whether the newest range of any shard has another owner.
func moved(a, b order.Table) bool {
	if len(a.Shards) != len(b.Shards) {
		return len(b.Shards) > 0
	}
	for i := range a.Shards {
		if a.Last(i).Owner != b.Last(i).Owner {
			return true
		}
	}
	return false
}

// announce tells the other nodes of the service of a confirmed table. Those
// that miss it learn of it by their next poll.
func (s *Service) announce(ctx context.Context, svc *service) {
	s.mu.Lock()
	t := svc.table
	s.mu.Unlock()
	if t.Version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range hosting(s.source.View(), svc.name) {
		if p.ID == s.self.Node {
			continue
		}
		wg.Go(func() {
			_ = s.transport.Call(ctx, p, mesh.KindOrderTransfer, transferRequest{Service: svc.name, Table: &t}, nil)
		})
	}
	wg.Wait()
}
