package ledger

import (
	"context"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

const (
	// cacheAge is the age at which a cached table is read again from a peer.
	cacheAge = time.Minute
	// minFetchInterval bounds how often a stale table is read again.
	minFetchInterval = 50 * time.Millisecond
	// fetchPeers is the number of peers asked for a table.
	fetchPeers = 3
	// retryNoTable is when callers come back while no owners are known.
	retryNoTable = 2 * time.Second
)

// Locate implements order.Ledger.
func (s *Service) Locate(service, key string) order.Place {
	k, err := order.ParseKey(key)
	if err != nil {
		return order.Place{Reason: reason.KeyMalformed, Effect: reason.NotRun}
	}
	v := s.source.View()
	if !k.Timed {
		return locateOpaque(v, service, k)
	}
	t := s.cached(service)
	if t.Version == 0 {
		why := reason.PlatformDown
		if len(hosting(v, service)) == 0 {
			why = reason.NoUpstream
		}
		return order.Place{Reason: why, Effect: reason.NotRun, RetryAfter: retryNoTable}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	place := order.Locate(t, k, s.dead)
	if place.Node == "" {
		s.service(service).stale = true
	}
	return place
}

// locateOpaque names the node that should claim an opaque key.
func locateOpaque(v *membership.View, service string, k order.Key) order.Place {
	peers := ranked(hosting(v, service), claimName(service, k))
	if len(peers) == 0 {
		return order.Place{Reason: reason.NoUpstream, Effect: reason.NotRun, RetryAfter: retryNoTable}
	}
	return order.Place{Node: peers[0].ID}
}

// Moved implements order.Ledger.
func (s *Service) Moved(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(service).stale = true
}

// cached returns the table of a service. The first call and calls after Moved
// wait for a peer; an aged table is refreshed in the background.
func (s *Service) cached(name string) order.Table {
	s.mu.Lock()
	svc := s.service(name)
	t := svc.table
	age := time.Since(svc.checked)
	wait := t.Version == 0 || svc.stale && age > minFetchInterval
	s.mu.Unlock()
	if wait {
		ctx, cancel := context.WithTimeout(context.Background(), firstLocateTimeout)
		defer cancel()
		return s.fetch(ctx, svc)
	}
	if age > cacheAge {
		select {
		case svc.fetching <- struct{}{}:
			s.done.Go(func() { s.fetchHeld(name) })
		default:
		}
	}
	return t
}

// fetchHeld refreshes in the background; the caller holds svc.fetching.
func (s *Service) fetchHeld(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), firstLocateTimeout)
	defer cancel()
	s.mu.Lock()
	svc := s.service(name)
	s.mu.Unlock()
	defer func() { <-svc.fetching }()
	s.ask(ctx, svc)
}

// fetch reads the table from a peer. Concurrent callers share one exchange.
func (s *Service) fetch(ctx context.Context, svc *service) order.Table {
	s.mu.Lock()
	before := svc.checked
	s.mu.Unlock()
	select {
	case svc.fetching <- struct{}{}:
		defer func() { <-svc.fetching }()
	case <-ctx.Done():
	}
	s.mu.Lock()
	shared := svc.checked != before
	s.mu.Unlock()
	if !shared && ctx.Err() == nil {
		s.ask(ctx, svc)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return svc.table
}

// ask polls the nodes of the service for its table until one answers.
func (s *Service) ask(ctx context.Context, svc *service) {
	peers := ranked(hosting(s.source.View(), svc.name), svc.name)
	for _, p := range peers[:min(fetchPeers, len(peers))] {
		if p.ID == s.self.Node {
			if s.create(ctx, svc.name) == nil {
				break
			}
			continue
		}
		if s.poll(ctx, svc.name, p, true) == nil {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	svc.checked = time.Now()
	svc.stale = false
}
