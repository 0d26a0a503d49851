package gossip

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/tree"
)

// announce spreads entries that this node originates.
func (s *Service) announce(entries []membership.Entry) {
	switch s.options.Dissemination {
	case DisseminationTree:
		s.outbox.add(entries)
	case DisseminationGossip:
		s.mu.Lock()
		s.rumours.Add(entries, s.table.Len())
		s.mu.Unlock()
	}
}

// submit hands entries to the first lead that takes them. The tree reaches the
// origin too: if the local record does not come back, the lead has died before
// it pushed, and another one is asked.
func (s *Service) submit(entries []membership.Entry) {
	s.submitTo(s.ctx, entries, 0)
	own := slices.IndexFunc(entries, func(e membership.Entry) bool { return e.Record.ID == s.self().ID })
	if own < 0 {
		return
	}
	s.spawn(func() {
		if s.sleep(s.timing.EchoTimeout) && !s.echoed(entries[own].Record) {
			s.metrics.updates.WithLabelValues(stageLabel(membership.StageSubmit), "resubmitted").Inc()
			s.submitTo(s.ctx, entries[own:own+1], 1)
		}
	})
}

// echoed reports whether the local record, or a later one, came down a tree or
// does not need to.
func (s *Service) echoed(own membership.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	later := s.echo.Incarnation > own.Incarnation ||
		s.echo.Incarnation == own.Incarnation && s.echo.Revision >= own.Revision
	return later || s.table.LeadRank() >= 0
}

// noteEcho remembers the local record when it comes down a tree.
func (s *Service) noteEcho(entries []membership.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		if e.Record.ID == s.self().ID {
			s.echo = e.Record
		}
	}
}

// submitTo hands entries to the first lead that takes them, beginning after the
// given number of leads.
func (s *Service) submitTo(ctx context.Context, entries []membership.Entry, skip int) {
	s.mu.Lock()
	lead := s.table.LeadRank() >= 0
	leads := s.table.Leads(s.table.DataCentre())
	others := s.table.RandomPeers(pushAttempts, s.table.DataCentre())
	s.mu.Unlock()
	leads = leads[min(skip, len(leads)):]
	if lead {
		s.spread(entries)
		return
	}
	u := membership.Update{Stage: membership.StageSubmit, Entries: entries}
	if s.pushFirst(ctx, append(leads, others...), u) || len(others) == 0 {
		return
	}
	s.log.Emit(event.UpdateUnacked, event.F("entries", len(entries)))
}

// spread begins to push entries to every node, as a lead.
func (s *Service) spread(entries []membership.Entry) {
	s.mu.Lock()
	var fresh []membership.Entry
	for _, e := range entries {
		k := recentKey{id: e.Record.ID, a: e.Record.Incarnation, b: e.Record.Revision, status: e.Status}
		if !s.recent.seen(k) {
			fresh = append(fresh, e)
		}
	}
	s.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	s.treeBox.add(fresh)
	s.remoteBox.add(fresh)
}

// pushOwnTree pushes entries down the tree that has this node as its root.
func (s *Service) pushOwnTree(entries []membership.Entry) {
	u := membership.Update{
		Stage:    membership.StageTree,
		Root:     s.self().ID,
		Sequence: s.sequence.Add(1),
		Entries:  entries,
	}
	s.pushChildren(u, s.self().ID)
}

// pushCentres hands entries to one lead of every other data centre.
func (s *Service) pushCentres(entries []membership.Entry) {
	u := membership.Update{Stage: membership.StageGateway, Entries: entries}
	s.mu.Lock()
	targets := s.centreTargets()
	s.mu.Unlock()
	for _, peers := range targets {
		s.spawn(func() { s.pushFirst(s.ctx, peers, u) })
	}
}

// centreTargets returns, for each other data centre, its leads and one more
// member, in the order in which they are tried. The caller holds mu.
func (s *Service) centreTargets() map[model.DataCentre][]mesh.Peer {
	targets := make(map[model.DataCentre][]mesh.Peer)
	for _, dc := range s.table.Centres() {
		if dc == s.table.DataCentre() {
			continue
		}
		leads := s.table.Leads(dc)
		ids := make([]model.NodeID, len(leads))
		for i, l := range leads {
			ids[i] = l.ID
		}
		if peers := append(leads, s.table.RandomPeers(1, dc, ids...)...); len(peers) > 0 {
			targets[dc] = peers
		}
	}
	return targets
}

// pushFirst sends an update to the first of the peers that takes it, and
// reports whether any did.
func (s *Service) pushFirst(ctx context.Context, peers []mesh.Peer, u membership.Update) bool {
	for _, p := range peers {
		if p.ID == s.self().ID {
			continue
		}
		if s.push(ctx, p, u) == nil {
			return true
		}
	}
	return false
}

func (s *Service) push(ctx context.Context, peer mesh.Peer, u membership.Update) error {
	ctx, cancel := context.WithTimeout(ctx, s.timing.PushTimeout)
	defer cancel()
	err := s.options.Transport.Call(ctx, peer, mesh.KindUpdate, u, nil)
	result := "acked"
	if err != nil {
		result = "failed"
	}
	s.metrics.updates.WithLabelValues(stageLabel(u.Stage), result).Inc()
	return err
}

// pushChildren pushes an update to the children of a node in the tree of the
// update's root, all at once, and waits for them.
func (s *Service) pushChildren(u membership.Update, of model.NodeID) {
	s.mu.Lock()
	children := tree.Children(s.table.TreeIDs(), u.Root, of, s.options.Fanout)
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, child := range children {
		wg.Go(func() { s.pushChild(u, child) })
	}
	wg.Wait()
}

// pushChild pushes an update to one child. If the child does not take it, it
// goes around the child to the grandchildren.
func (s *Service) pushChild(u membership.Update, child model.NodeID) {
	s.mu.Lock()
	peer, ok := s.table.Peer(child)
	s.mu.Unlock()
	for range pushAttempts {
		if !ok || s.ctx.Err() != nil {
			break
		}
		if s.push(s.ctx, peer, u) == nil {
			return
		}
	}
	if s.ctx.Err() != nil {
		return
	}
	s.metrics.updates.WithLabelValues(stageLabel(u.Stage), "around").Inc()
	s.pushChildren(u, child)
}

func (s *Service) onUpdate(_ context.Context, from mesh.Peer, body []byte) (any, error) {
	u, err := membership.Decode[membership.Update](body)
	if err != nil {
		s.refuse(from, err)
		return nil, err
	}
	s.learn(u.Entries)
	switch u.Stage {
	case membership.StageSubmit:
		s.spread(u.Entries)
	case membership.StageGateway:
		s.treeBox.add(u.Entries)
	case membership.StageTree:
		s.noteEcho(u.Entries)
		return nil, s.passOn(u)
	}
	return nil, nil
}

// passOn pushes an update further down its tree, once. It returns mesh.ErrBusy
// when too many are on their way, so that the sender goes around this node.
func (s *Service) passOn(u membership.Update) error {
	key := recentKey{id: u.Root, a: u.Sequence}
	s.mu.Lock()
	seen := s.recent.seen(key)
	s.mu.Unlock()
	if seen {
		return nil
	}
	select {
	case s.pushing <- struct{}{}:
	default:
		s.metrics.refused.WithLabelValues("push-busy").Inc()
		return fmt.Errorf("update: %w", mesh.ErrBusy)
	}
	s.spawn(func() {
		defer func() { <-s.pushing }()
		s.pushChildren(u, s.self().ID)
	})
	return nil
}

func stageLabel(stage membership.Stage) string {
	switch stage {
	case membership.StageSubmit:
		return "submit"
	case membership.StageGateway:
		return "gateway"
	}
	return "tree"
}
