package gossip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
)

// requestSync asks for an exchange with a peer. A request that already waits is
// enough.
func (s *Service) requestSync(peer mesh.Peer) {
	select {
	case s.syncs <- peer:
	default:
	}
}

// syncLoop runs the exchanges of this node, one at a time: when a difference
// was seen, and with a random member after a quiet interval.
func (s *Service) syncLoop() {
	for {
		quiet := time.NewTimer(s.jitter(s.timing.ExchangeInterval))
		select {
		case peer := <-s.syncs:
			s.repair(peer)
		case <-quiet.C:
			s.mu.Lock()
			peers := s.table.RandomPeers(1, s.table.DataCentre())
			s.mu.Unlock()
			if len(peers) == 1 {
				s.repair(peers[0])
			}
		case <-s.ctx.Done():
		}
		quiet.Stop()
		if !s.sleep(s.timing.ExchangeGap) {
			return
		}
	}
}

// repair exchanges with a peer, and tells the mesh of this node if it has just
// joined by it.
func (s *Service) repair(peer mesh.Peer) {
	if _, err := s.exchange(s.ctx, peer); err != nil {
		return
	}
	s.completeJoin()
}

// exchange runs one anti-entropy exchange and reports whether the tables were
// equal at its start.
func (s *Service) exchange(ctx context.Context, peer mesh.Peer) (equal bool, err error) {
	s.mu.Lock()
	s.exchanged = time.Now()
	request := s.table.StartExchange()
	s.mu.Unlock()
	for first := true; request.Step != membership.StepDone; first = false {
		reply, err := s.callExchange(ctx, peer, request)
		if err != nil {
			s.metrics.exchanges.WithLabelValues("failed").Inc()
			return false, err
		}
		if first && reply.Step == membership.StepDone {
			s.metrics.exchanges.WithLabelValues("equal").Inc()
			return true, nil
		}
		if reply.Step != request.Step && reply.Step != membership.StepDone {
			return false, fmt.Errorf("exchange with %q: step %d after %d: %w", peer.ID, reply.Step, request.Step, mesh.ErrMalformed)
		}
		request = s.continueExchange(reply)
	}
	s.metrics.exchanges.WithLabelValues("repaired").Inc()
	return false, nil
}

func (s *Service) callExchange(ctx context.Context, peer mesh.Peer, request membership.Exchange) (membership.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
	defer cancel()
	var reply membership.Exchange
	if err := s.options.Transport.Call(ctx, peer, mesh.KindExchange, request, &reply); err != nil {
		return reply, fmt.Errorf("exchange with %q: %w", peer.ID, err)
	}
	if err := reply.Validate(); err != nil {
		s.refuse(peer, err)
		return reply, fmt.Errorf("exchange with %q: %w", peer.ID, err)
	}
	return reply, nil
}

func (s *Service) continueExchange(reply membership.Exchange) membership.Exchange {
	s.mu.Lock()
	next, news := s.table.Continue(time.Now(), reply)
	s.mu.Unlock()
	s.heed(news)
	s.pushLearned(news.Entries)
	return next
}

// pushLearned lets the first lead push what it learned by an exchange, which is
// how news of other data centres arrive after a lost update.
func (s *Service) pushLearned(entries []membership.Entry) {
	if len(entries) == 0 || s.options.Dissemination != DisseminationTree {
		return
	}
	s.mu.Lock()
	first := s.table.LeadRank() == 0
	s.mu.Unlock()
	if first {
		s.treeBox.add(entries)
	}
}

func (s *Service) onExchange(_ context.Context, from mesh.Peer, body []byte) (any, error) {
	x, err := membership.Decode[membership.Exchange](body)
	if err != nil {
		s.refuse(from, err)
		return nil, err
	}
	select {
	case s.serving <- struct{}{}:
		defer func() { <-s.serving }()
	default:
		s.metrics.refused.WithLabelValues("exchange-busy").Inc()
		return nil, fmt.Errorf("exchange: %w", mesh.ErrBusy)
	}
	s.mu.Lock()
	reply, news := s.table.Respond(time.Now(), x)
	s.mu.Unlock()
	s.heed(news)
	s.pushLearned(news.Entries)
	return reply, nil
}

// refuse counts and logs a message that breaks a bound.
func (s *Service) refuse(from mesh.Peer, err error) {
	reason := "malformed"
	if errors.Is(err, membership.ErrInvalid) {
		reason = "invalid"
	}
	s.metrics.refused.WithLabelValues(reason).Inc()
	s.log.Emit(event.MemberBadInput, event.F("peer", from.ID), event.F("error", err))
}
