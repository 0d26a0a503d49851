package distributor

import (
	"context"
	"errors"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
)

// errNotStarted is answered to peers before Start.
var errNotStarted = errors.New("rollout: not started")

// receive decodes a request. A malformed one is counted and logged.
func receive[T any](s *Service, from mesh.Peer, body []byte, decode func([]byte) (T, error)) (T, error) {
	if !s.running() {
		var none T
		return none, errNotStarted
	}
	r, err := decode(body)
	if err != nil {
		s.badMessage(from, err)
	}
	return r, err
}

// handlePush takes an offer or an update from a peer.
func (s *Service) handlePush(ctx context.Context, from mesh.Peer, body []byte) (any, error) {
	r, err := receive(s, from, body, decodePush)
	if err != nil {
		return nil, err
	}
	if s.Applied() >= r.Version {
		s.metrics.countUpdate(useRepair, len(r.Update))
		return s.havePush(r), nil
	}
	if len(r.Update) == 0 {
		return s.wantPush(), nil
	}
	return s.takePush(ctx, from, r)
}

func (s *Service) takePush(ctx context.Context, from mesh.Peer, r pushRequest) (any, error) {
	u, err := bundle.DecodeUpdate(r.Update)
	if err != nil {
		s.badMessage(from, err)
		return nil, err
	}
	if u.Acceptance.Version != r.Version {
		err := malformed("push of version %d holds version %d", r.Version, u.Acceptance.Version)
		s.badMessage(from, err)
		return nil, err
	}
	s.metrics.countUpdate(usePush, len(r.Update))
	err = s.take(u, fromMs(r.ConfirmedMs))
	if errors.Is(err, bundle.ErrBase) {
		return s.wantPush(), nil
	}
	if err != nil {
		return pushReply{Outcome: outcomeRefused, Version: s.Applied(), Reason: boundText(err.Error())}, nil
	}
	s.updates.keep(u, r.Update)
	return s.havePush(r), nil
}

// havePush answers a push of a version that is in force here, and passes it on.
func (s *Service) havePush(r pushRequest) pushReply {
	v := s.Applied()
	if v == r.Version {
		s.confirm(fromMs(r.ConfirmedMs))
	}
	if r.Span.Empty() {
		s.spreader.root(s.group(), v)
	} else {
		s.spreader.markCovered(v)
		s.spreader.relay(v, r.Span)
	}
	return pushReply{Outcome: outcomeHave, Version: v}
}

func (s *Service) wantPush() pushReply {
	reply := pushReply{Outcome: outcomeWant}
	if acc := s.applier.acceptance(); acc != nil {
		reply.Version = acc.Version
		reply.Base = acc.Bundle
	}
	return reply
}

func (s *Service) badMessage(from mesh.Peer, err error) {
	s.metrics.refusals.WithLabelValues("malformed").Inc()
	s.log.Emit(event.RolloutBadMessage, event.F("peer", from.ID), event.F("error", err))
}
