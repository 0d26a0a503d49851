package ledger

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

const (
	// cutDelay is how far in the future an owner ends its ranges, so that the
	// successor is known before its first key is born.
	cutDelay = 100 * time.Millisecond
	// transferAttempts bounds the sending of one part of the records.
	transferAttempts = 3
	// transferBytes and transferRecords bound one part.
	transferBytes   = 1 << 20
	transferRecords = 4096
)

// Errors of a hand-over.
var (
	errNoSuccessor = errors.New("no node can take the shards over")
	errOtherOwner  = errors.New("successor started again during the hand-over")
	errNoRoom      = errors.New("records do not fit, or the successor stops too")
)

// cutOnce ends the newest ranges of this stopping owner shortly after now and
// gives the keys born later to successors.
func (s *Service) cutOnce(ctx context.Context) {
	for _, name := range s.hosted() {
		s.mu.Lock()
		svc := s.service(name)
		done := svc.cut || len(svc.book.Owned()) == 0
		s.mu.Unlock()
		if done {
			continue
		}
		s.refresh(ctx, name)
		if err := s.cut(ctx, svc, nil); err != nil {
			s.opts.Log.Emit(event.OrderHandOverFail, event.F("service", name), event.F("error", err))
			continue
		}
		s.mu.Lock()
		svc.cut = true
		s.mu.Unlock()
		s.announce(ctx, svc)
	}
}

// cut ends this owner's newest ranges of the given shards, or of all shards if
// none are given, and gives the keys born later to other takers.
func (s *Service) cut(ctx context.Context, svc *service, shards map[int]bool) error {
	takers := s.successors(svc.name)
	if len(takers) == 0 {
		return fmt.Errorf("ledger: cut ranges of %q: %w", svc.name, errNoSuccessor)
	}
	_, err := s.update(ctx, svc, false, func(t order.Table) (order.Table, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.Version == 0 {
			return t, false
		}
		cuts := svc.book.Cuts(t, order.BirthOf(time.Now().Add(cutDelay)))
		if shards != nil {
			maps.DeleteFunc(cuts, func(shard int, _ order.Birth) bool { return !shards[shard] })
		}
		svc.book.Close(cuts)
		return t.Cut(s.self, cuts, s.opts.Lookahead, takers)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, platform.ErrUnknownOutcome) {
		svc.book.Doubt()
	}
	svc.book.Reopen()
	return err
}

// successors returns the other owners that can take further shards, as the
// coordinator told last.
func (s *Service) successors(name string) []order.Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []order.Owner
	for _, o := range s.service(name).takers {
		if o != s.self {
			list = append(list, o)
		}
	}
	return list
}

// handOver gives all ranges and records of this node to successors.
func (s *Service) handOver(ctx context.Context) {
	s.cutOnce(ctx)
	for _, name := range s.hosted() {
		s.refresh(ctx, name)
		s.mu.Lock()
		svc := s.service(name)
		svc.book.Freeze()
		owned := svc.book.Owned()
		s.mu.Unlock()
		if len(owned) == 0 {
			continue
		}
		err := s.handOverService(ctx, svc, owned)
		if err != nil {
			s.metrics.handOvers.WithLabelValues("failed").Inc()
			s.opts.Log.Emit(event.OrderHandOverFail, event.F("service", name), event.F("error", err))
			continue
		}
		s.metrics.handOvers.WithLabelValues("ok").Inc()
		s.opts.Log.Emit(event.OrderHandedOver, event.F("service", name))
	}
}

func (s *Service) handOverService(ctx context.Context, svc *service, owned map[int]bool) error {
	groups, err := s.group(svc, owned)
	if err != nil {
		return err
	}
	var errs []error
	for to, shards := range groups {
		errs = append(errs, s.transferToAny(ctx, svc, to, shards))
	}
	s.announce(ctx, svc)
	return errors.Join(errs...)
}

// transferToAny hands shards to the first successor, or to another one if that
// fails.
func (s *Service) transferToAny(ctx context.Context, svc *service, first order.Owner, shards map[int]bool) error {
	err := s.transfer(ctx, svc, first, shards)
	for _, to := range s.successors(svc.name) {
		if err == nil || ctx.Err() != nil {
			break
		}
		if to != first {
			err = s.transfer(ctx, svc, to, shards)
		}
	}
	if err != nil {
		return fmt.Errorf("ledger: hand over %q: %w", svc.name, err)
	}
	return nil
}

// group sorts the owned shards by the owner of their newest range, or by the
// successors in turn if that owner cannot take them.
func (s *Service) group(svc *service, owned map[int]bool) (map[order.Owner]map[int]bool, error) {
	takers := s.successors(svc.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := make(map[order.Owner]map[int]bool)
	for shard := range owned {
		to := svc.table.Last(shard).Owner
		if to == s.self || len(takers) > 0 && !slices.Contains(takers, to) {
			if len(takers) == 0 {
				return nil, fmt.Errorf("ledger: hand over %q: %w", svc.name, errNoSuccessor)
			}
			to = takers[shard%len(takers)]
		}
		if groups[to] == nil {
			groups[to] = make(map[int]bool)
		}
		groups[to][shard] = true
	}
	return groups, nil
}

// transfer sends the records of the shards to a successor and, once it has
// confirmed them all, gives it the ranges.
func (s *Service) transfer(ctx context.Context, svc *service, to order.Owner, shards map[int]bool) error {
	s.mu.Lock()
	records, floor := svc.book.Export(shards)
	s.mu.Unlock()
	op := newOperation()
	for _, part := range split(records) {
		req := transferRequest{Service: svc.name, Operation: op, Records: part, Floor: floor}
		if err := s.sendPart(ctx, to, req); err != nil {
			return err
		}
	}
	_, err := s.update(ctx, svc, false, func(t order.Table) (order.Table, bool) {
		return t.Reassign(s.self, to, shards, op)
	})
	return err
}

// sendPart sends one part of the records again until it is confirmed.
func (s *Service) sendPart(ctx context.Context, to order.Owner, req transferRequest) error {
	m := s.source.View().Members[to.Node]
	var err error
	for range transferAttempts {
		var reply transferReply
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = s.transport.Call(callCtx, m.Peer(), mesh.KindOrderTransfer, req, &reply)
		cancel()
		if err == nil && reply.Owner != to {
			return errOtherOwner
		}
		if err == nil {
			return nil
		}
	}
	return err
}

// split cuts records into parts that fit into a message. There is at least one
// part, so that the successor always confirms.
func split(records []order.Record) [][]order.Record {
	parts := [][]order.Record{nil}
	size := 0
	for _, r := range records {
		last := len(parts) - 1
		if size >= transferBytes || len(parts[last]) >= transferRecords {
			parts = append(parts, nil)
			size = 0
			last++
		}
		parts[last] = append(parts[last], r)
		size += r.Outcome.Size()
	}
	return parts
}

// handleTransfer keeps the records of a former owner and adopts its table.
func (s *Service) handleTransfer(_ context.Context, _ mesh.Peer, body []byte) (any, error) {
	var req transferRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, fmt.Errorf("ledger: transfer: %w: %w", mesh.ErrMalformed, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(req.Service)
	if req.Operation != "" && !svc.book.Import(req.Records, req.Floor) {
		return nil, fmt.Errorf("ledger: transfer of %q: %w", req.Service, errNoRoom)
	}
	if req.Table != nil {
		s.adopt(svc, *req.Table, "")
	}
	return transferReply{Owner: s.self}, nil
}
