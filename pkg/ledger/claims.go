package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

const (
	// claimShards is the number of objects over which a service's opaque keys
	// are spread.
	claimShards = 4
	// commitInterval is the shortest time between two updates of one object, so
	// that the write rate does not follow the order rate.
	commitInterval = 500 * time.Millisecond
	// maxUnused bounds the claimed keys remembered as not run.
	maxUnused = 4096
	// maxBatch bounds the claims of one update.
	maxBatch = 512
	// retryPlatform is when callers come back after a failed claim.
	retryPlatform = 5 * time.Second
)

// claimant groups the claims of one object into few updates.
type claimant struct {
	service *service
	key     platform.Key
	pending []*claim
	// running tells that a commit loop is at work.
	running bool
	last    time.Time
	outage  backoff
	// unused holds keys that are, or may be, claimed for this node and that have
	// certainly not run.
	unused map[order.ID]struct{}
}

// claim is a key that waits for the next update.
type claim struct {
	id   order.ID
	done chan struct{}
	// owner is the claimant after done; err tells why there is none.
	owner order.Owner
	err   error
	// seen tells that the object has been read for this claim; existed that the
	// key was claimed already then.
	seen, existed bool
	// uncertain tells that the key may yet be claimed for this node.
	uncertain bool
}

// errClaimsFull: the object holds no further claims.
var errClaimsFull = errors.New("ledger: claims are full")

func claimShard(k order.Key) int { return k.Shard % claimShards }

func claimName(service string, k order.Key) string {
	return fmt.Sprintf("%s.%d", service, claimShard(k))
}

// beginOpaque claims a key without a birth time and decides on it.
func (s *Service) beginOpaque(ctx context.Context, r order.Request, k order.Key) order.Decision {
	s.mu.Lock()
	svc := s.service(r.Service)
	svc.book.Expire(order.BirthOf(time.Now()))
	if svc.book.Resume(k.ID, r.Digest) {
		s.mu.Unlock()
		return order.Decision{Verdict: order.VerdictRun}
	}
	if d, ok := svc.book.Lookup(k.ID, r.Digest); ok {
		s.mu.Unlock()
		return d
	}
	c := s.enqueue(svc, k)
	s.mu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		<-c.done // Commits are bounded in time; the claim must not be forgotten.
	}
	return s.decideClaim(ctx, r, k, c)
}

// enqueue adds a claim to the next update. s.mu must be held.
func (s *Service) enqueue(svc *service, k order.Key) *claim {
	shard := claimShard(k)
	a := svc.claims[shard]
	if a == nil {
		key := platform.Key{Collection: platform.CollectionClaims, Name: claimName(svc.name, k)}
		a = &claimant{service: svc, key: key, unused: make(map[order.ID]struct{})}
		svc.claims[shard] = a
	}
	c := &claim{id: k.ID, done: make(chan struct{})}
	a.pending = append(a.pending, c)
	if !a.running {
		a.running = true
		s.done.Go(func() { s.commitLoop(a) })
	}
	return c
}

// commitLoop commits until no claim waits.
func (s *Service) commitLoop(a *claimant) {
	for {
		s.mu.Lock()
		wait := commitInterval - time.Since(a.last)
		s.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		s.mu.Lock()
		n := min(maxBatch, len(a.pending))
		batch := a.pending[:n:n]
		a.pending = a.pending[n:]
		if n == 0 {
			a.running = false
			s.mu.Unlock()
			return
		}
		a.last = time.Now()
		s.mu.Unlock()
		s.commit(a, batch)
	}
}

// commit claims the keys of a batch by a conditional update of the object.
func (s *Service) commit(a *claimant, batch []*claim) {
	s.mu.Lock()
	ready := a.outage.ready(time.Now())
	s.mu.Unlock()
	if !ready {
		for _, c := range batch {
			c.err = platform.ErrUnavailable
			close(c.done)
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*platformTimeout)
	defer cancel()
	uncertain := false
	err := errContended
	for range maxUpdateAttempts {
		var done bool
		done, err = s.commitOnce(ctx, a, batch)
		uncertain = uncertain || errors.Is(err, platform.ErrUnknownOutcome)
		if done || err != nil && !errors.Is(err, platform.ErrUnknownOutcome) {
			break
		}
	}
	s.mu.Lock()
	a.outage.note(time.Now(), err)
	s.mu.Unlock()
	for _, c := range batch {
		if c.owner.Node == "" && c.err == nil {
			c.err, c.uncertain = err, uncertain
		}
		close(c.done)
	}
}

func (s *Service) commitOnce(ctx context.Context, a *claimant, batch []*claim) (done bool, err error) {
	claims, rev, err := s.readClaims(ctx, a.key)
	if err != nil {
		return false, err
	}
	ids := make([]order.ID, len(batch))
	for i, c := range batch {
		ids[i] = c.id
		if !c.seen {
			c.seen = true
			_, c.existed = claims.Owner(c.id)
		}
	}
	next, full, changed := claims.Add(order.BirthOf(time.Now()), s.opts.Limits.Retention, s.self, ids)
	if changed {
		next.Operation = newOperation()
		if err := s.putClaims(ctx, a.key, next, rev); err != nil {
			if errors.Is(err, platform.ErrConflict) {
				return false, nil
			}
			return false, err
		}
	}
	for _, c := range batch {
		c.owner, _ = next.Owner(c.id)
		if full[c.id] {
			c.err = errClaimsFull
		}
	}
	return true, nil
}

func (s *Service) readClaims(ctx context.Context, key platform.Key) (order.Claims, platform.Revision, error) {
	var claims order.Claims
	o, err := s.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return claims, "", nil
	}
	if err != nil {
		return claims, "", fmt.Errorf("ledger: read claims %q: %w", key.Name, err)
	}
	if err := json.Unmarshal(o.Value, &claims); err != nil {
		return claims, "", fmt.Errorf("ledger: claims %q: %w: %w", key.Name, order.ErrTable, err)
	}
	return claims, o.Revision, nil
}

// putClaims returns an error that wraps platform.ErrUnknownOutcome for every
// failure after which the write may have taken effect.
func (s *Service) putClaims(ctx context.Context, key platform.Key, claims order.Claims, rev platform.Revision) error {
	value, err := json.Marshal(claims)
	if err != nil {
		return fmt.Errorf("ledger: encode claims %q: %w", key.Name, err)
	}
	_, err = s.store.Put(ctx, key, value, rev)
	s.metrics.writes.WithLabelValues("claims", outcomeOf(err)).Inc()
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable),
		errors.Is(err, platform.ErrRateLimited), errors.Is(err, platform.ErrTooLarge):
		return err
	}
	return fmt.Errorf("ledger: write claims %q: %w: %w", key.Name, platform.ErrUnknownOutcome, err)
}

// decideClaim decides on a key whose claim has been committed or has failed.
func (s *Service) decideClaim(ctx context.Context, r order.Request, k order.Key, c *claim) order.Decision {
	if c.err != nil || c.owner == s.self {
		return s.decideOwnClaim(r, k, c)
	}
	d := order.Decision{Verdict: order.VerdictRefuse, Reason: reason.KeyOutcome, Effect: reason.Unknown}
	m, ok := s.source.View().Members[c.owner.Node]
	if !ok {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := recordRequest{Service: r.Service, Instance: c.owner.Instance, ID: k.ID, Digest: r.Digest}
	var reply recordReply
	if err := s.transport.Call(ctx, m.Peer(), mesh.KindOrderRecord, req, &reply); err != nil || !reply.Found {
		return d
	}
	return reply.Decision
}

// decideOwnClaim decides on a key that this node has claimed or tried to claim.
func (s *Service) decideOwnClaim(r order.Request, k order.Key, c *claim) order.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(r.Service)
	book, unused := svc.book, svc.claims[claimShard(k)].unused
	now := order.BirthOf(time.Now())
	if d, ok := book.Lookup(k.ID, r.Digest); ok {
		return d // Another attempt shared the update and was decided first.
	}
	refuse := order.Decision{Verdict: order.VerdictRefuse, Reason: reason.PlatformDown, Effect: reason.NotRun, RetryAfter: retryPlatform}
	switch {
	case errors.Is(c.err, errClaimsFull):
		refuse.Reason = reason.KeyStoreFull
		return refuse
	case c.err != nil:
		if c.uncertain && len(unused) < maxUnused {
			unused[k.ID] = struct{}{}
		}
		return refuse
	}
	if _, ok := unused[k.ID]; c.existed && !ok {
		return order.Decision{Verdict: order.VerdictRefuse, Reason: reason.KeyOutcome, Effect: reason.Unknown}
	}
	if !book.Admit(k, now, r.Digest) {
		if len(unused) < maxUnused {
			unused[k.ID] = struct{}{}
		}
		refuse.Reason = reason.KeyStoreFull
		return refuse
	}
	delete(unused, k.ID)
	return order.Decision{Verdict: order.VerdictRun}
}

// handleRecord tells another node what became of an opaque key claimed here.
func (s *Service) handleRecord(_ context.Context, _ mesh.Peer, body []byte) (any, error) {
	var req recordRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, fmt.Errorf("ledger: record: %w: %w", mesh.ErrMalformed, err)
	}
	if req.Instance != s.self.Instance {
		return recordReply{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.service(req.Service).book.Lookup(req.ID, req.Digest)
	return recordReply{Found: ok, Decision: d}, nil
}
