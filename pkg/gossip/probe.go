package gossip

import (
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// pending holds the probes that wait for an answer, by sequence number.
type pending struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]probe
}

type probe struct {
	target model.NodeID
	answer chan membership.Ack
}

// open returns the sequence number of a new probe and where its answer arrives.
func (p *pending) open(target model.NodeID) (uint64, <-chan membership.Ack) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[uint64]probe)
	}
	p.next++
	answer := make(chan membership.Ack, 1)
	p.waiting[p.next] = probe{target: target, answer: answer}
	return p.next, answer
}

func (p *pending) close(sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, sequence)
}

// deliver hands an answer to its probe. It reports whether the probe's target
// is the sender itself.
func (p *pending) deliver(from model.NodeID, a membership.Ack) (direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.waiting[a.Sequence]
	if !ok {
		return false
	}
	select {
	case w.answer <- a:
	default:
	}
	return w.target == from
}

// probeLoop probes one member per interval, and now and then a failed one.
func (s *Service) probeLoop() {
	for round := 1; s.sleep(s.timing.ProbeInterval); round++ {
		s.expire()
		s.mu.Lock()
		target, ok := s.table.NextProbe()
		failed, lost := s.table.RandomFailed()
		s.mu.Unlock()
		if ok {
			s.spawn(func() { s.probe(target) })
		}
		if lost && round%failedProbeEvery == 0 {
			s.spawn(func() { s.probeFailed(failed) })
		}
	}
}

// expire fails the suspects whose time is up. The first lead tells the other
// data centres; the nodes of this one have timers of their own.
func (s *Service) expire() {
	s.mu.Lock()
	index := s.table.Index()
	failed := s.table.Expire(time.Now())
	if s.table.Index() != index {
		s.touch()
	}
	first := s.table.LeadRank() == 0
	s.mu.Unlock()
	if len(failed) > 0 && first {
		s.announce(failed)
	}
}

// probe pings a member, directly and then through helpers, and suspects it if
// no answer comes.
func (s *Service) probe(target membership.Entry) {
	peer := mesh.Peer{ID: target.Record.ID, Addr: target.Record.MeshAddr}
	sequence, answer := s.probes.open(peer.ID)
	defer s.probes.close(sequence)
	s.ping(peer, sequence, target)
	if s.answered(answer) {
		s.metrics.probes.WithLabelValues("direct").Inc()
		return
	}
	s.ping(peer, sequence, target)
	s.askHelpers(peer, sequence)
	if s.answered(answer) {
		s.metrics.probes.WithLabelValues("indirect").Inc()
		return
	}
	if s.ctx.Err() != nil {
		return
	}
	s.metrics.probes.WithLabelValues("unanswered").Inc()
	s.suspect(target)
}

func (s *Service) answered(answer <-chan membership.Ack) bool {
	timer := time.NewTimer(s.timing.ProbeTimeout)
	defer timer.Stop()
	select {
	case <-answer:
		return true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}

func (s *Service) askHelpers(target mesh.Peer, sequence uint64) {
	s.mu.Lock()
	helpers := s.table.RandomPeers(indirectProbes, s.table.DataCentre(), target.ID)
	s.mu.Unlock()
	for _, h := range helpers {
		s.send(h, mesh.KindIndirectPing, membership.IndirectPing{Sequence: sequence, TargetID: target.ID, Addr: target.Addr})
	}
}

func (s *Service) suspect(target membership.Entry) {
	s.mu.Lock()
	e, ok := s.table.Suspect(time.Now(), target.Record.ID, target.Record.Incarnation)
	if ok {
		s.touch()
	}
	s.mu.Unlock()
	if ok {
		s.announce([]membership.Entry{e})
	}
}

// probeFailed looks whether the host of a failed member has returned. Its
// answer comes with a new incarnation, which onAck takes up.
func (s *Service) probeFailed(peer mesh.Peer) {
	sequence, answer := s.probes.open(peer.ID)
	defer s.probes.close(sequence)
	s.ping(peer, sequence, membership.Entry{})
	if s.answered(answer) {
		s.metrics.probes.WithLabelValues("returned").Inc()
	}
}

// ping sends one ping. If the target is suspected, the ping says so.
func (s *Service) ping(peer mesh.Peer, sequence uint64, target membership.Entry) {
	message := membership.Ping{Sequence: sequence}
	message.State, message.Gossip = s.state()
	if target.Status == membership.StatusSuspect {
		message.Suspected = target.Record.Incarnation
	}
	s.send(peer, mesh.KindPing, message)
}

func (s *Service) send(peer mesh.Peer, kind mesh.Kind, message any) {
	if err := s.options.Transport.Send(peer, kind, message); err != nil {
		s.metrics.refused.WithLabelValues("send").Inc()
	}
}

// state returns what this node says of itself in probes.
func (s *Service) state() (membership.State, []membership.Entry) {
	applied := s.hooks.Load().applied()
	s.mu.Lock()
	defer s.mu.Unlock()
	return membership.State{
		Incarnation: s.table.Self().Record.Incarnation,
		Digest:      s.table.Digest(),
		Applied:     applied,
	}, s.rumours.Take(s.table, gossipEntries)
}

func (s *Service) onPing(from mesh.Peer, body []byte) {
	p, err := membership.Decode[membership.Ping](body)
	if err != nil {
		s.refuse(from, err)
		return
	}
	if s.options.Dissemination == DisseminationGossip {
		s.learn(p.Gossip)
	}
	if p.Suspected != 0 {
		s.refute(p.Suspected)
	}
	ack := membership.Ack{Sequence: p.Sequence}
	ack.State, ack.Gossip = s.state()
	s.send(from, mesh.KindAck, ack)
	s.compare(from, p.State)
}

// refute defends this node against a suspicion of the given incarnation.
func (s *Service) refute(incarnation uint64) {
	s.mu.Lock()
	suspected := s.table.Self()
	suspected.Record.Incarnation = incarnation
	suspected.Status = membership.StatusSuspect
	news := s.table.Apply(time.Now(), []membership.Entry{suspected})
	s.mu.Unlock()
	s.heed(news)
}

func (s *Service) onAck(from mesh.Peer, body []byte) {
	a, err := membership.Decode[membership.Ack](body)
	if err != nil {
		s.refuse(from, err)
		return
	}
	if s.options.Dissemination == DisseminationGossip {
		s.learn(a.Gossip)
	}
	if s.probes.deliver(from.ID, a) {
		s.compare(from, a.State)
	}
}

// onIndirectPing pings the target and passes its answer on.
func (s *Service) onIndirectPing(from mesh.Peer, body []byte) {
	p, err := membership.Decode[membership.IndirectPing](body)
	if err != nil {
		s.refuse(from, err)
		return
	}
	s.spawn(func() {
		sequence, answer := s.probes.open(p.TargetID)
		defer s.probes.close(sequence)
		s.ping(mesh.Peer{ID: p.TargetID, Addr: p.Addr}, sequence, membership.Entry{})
		if s.answered(answer) {
			state, _ := s.state()
			s.send(from, mesh.KindAck, membership.Ack{Sequence: p.Sequence, State: state})
		}
	})
}

// compare takes up what a peer said of itself: a newer bundle version, or a
// table that differs.
func (s *Service) compare(from mesh.Peer, state membership.State) {
	h := s.hooks.Load()
	if state.Applied > h.applied() {
		h.offer(from.ID, state.Applied)
	}
	s.mu.Lock()
	known, ok := s.table.Get(from.ID)
	stranger := !ok || known.Record.Incarnation < state.Incarnation ||
		known.Status == membership.StatusFailed || known.Status == membership.StatusLeft
	now := time.Now()
	moving := now.Sub(s.changedAt) < settleTime && now.Sub(s.exchanged) < settleLimit
	differs := state.Digest != s.table.Digest() && !moving
	s.mu.Unlock()
	if stranger || differs {
		s.requestSync(from)
	}
}
