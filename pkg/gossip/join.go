package gossip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/contacts"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
)

// retryAfter is what a node that admits too many joins tells the joiner to wait.
const retryAfter = time.Second

// joinLoop tries contacts until this node takes part in the mesh. A node that
// finds nobody goes on trying at a low rate; peers that probe it find it too.
func (s *Service) joinLoop() {
	backoff := s.timing.JoinBackoff
	for round := 0; ; round++ {
		found := s.joinRound(s.candidates(round))
		if found {
			s.completeJoin()
		}
		select {
		case <-s.joined:
			return
		default:
		}
		if round > 0 {
			s.log.Emit(event.JoinFailed, event.F("round", round))
		}
		if !s.sleepUnlessJoined(backoff) {
			return
		}
		backoff = min(2*backoff, s.timing.MaxJoinBackoff)
	}
}

// sleepUnlessJoined waits for d and reports whether joining must go on.
func (s *Service) sleepUnlessJoined(d time.Duration) bool {
	timer := time.NewTimer(s.jitter(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.joined:
	case <-s.ctx.Done():
	}
	return false
}

// candidates returns the peers to try. The platform is asked from the second
// round on, when the settings' contacts and the probes of peers did not help.
func (s *Service) candidates(round int) []mesh.Peer {
	var peers []mesh.Peer
	for _, addr := range s.options.Contacts {
		if addr != s.self().MeshAddr {
			peers = append(peers, mesh.Peer{Addr: addr})
		}
	}
	if s.book != nil && (round > 0 || len(peers) == 0) {
		peers = append(peers, s.platformContacts(round)...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// platformContacts reads the contacts of this data centre, and in every second
// round those of all. The first read waits a random time, in which peers may
// find this node, and so that of a herd only the first finds no contacts.
func (s *Service) platformContacts(round int) []mesh.Peer {
	if round <= 1 && !s.sleepUnlessJoined(s.randomUpTo(s.timing.JoinSpread)) {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.timing.CallTimeout)
	defer cancel()
	if round%2 == 0 {
		return s.usable(s.ownContacts(ctx))
	}
	all, _, err := s.book.List(ctx)
	if err != nil {
		s.log.Emit(event.ContactsFailed, event.F("error", err))
	}
	var found []contacts.Contact
	for _, centre := range all {
		found = append(found, centre.Contacts...)
	}
	return s.usable(found)
}

// ownContacts reads the contacts of this data centre. If there are none, this
// node becomes the first; if another one was faster, it reads again.
func (s *Service) ownContacts(ctx context.Context) []contacts.Contact {
	own, revision, err := s.book.Get(ctx, s.self().DataCentre)
	if err == nil && len(own.Contacts) == 0 {
		self := contacts.Contact{ID: s.self().ID, Addr: s.self().MeshAddr}
		err = s.book.Put(ctx, s.self().DataCentre, []contacts.Contact{self}, revision)
		if errors.Is(err, contacts.ErrRaced) {
			own, _, err = s.book.Get(ctx, s.self().DataCentre)
		}
	}
	if err != nil {
		s.log.Emit(event.ContactsFailed, event.F("error", err))
	}
	return own.Contacts
}

// usable returns the contacts other than this node, known by their addresses.
func (s *Service) usable(list []contacts.Contact) []mesh.Peer {
	var peers []mesh.Peer
	for _, c := range list {
		if c.ID != s.self().ID && c.Addr != s.self().MeshAddr {
			peers = append(peers, mesh.Peer{Addr: c.Addr})
		}
	}
	return peers
}

// maxJoinTries bounds the peers that one round tries.
const maxJoinTries = 16

// joinRound asks peers to admit this node, and then fetches the state from many
// of them. It reports whether it was admitted.
func (s *Service) joinRound(peers []mesh.Peer) bool {
	for tries := 0; tries < maxJoinTries && len(peers) > 0; tries++ {
		next := peers[0]
		peers = peers[1:]
		reply, err := s.askToJoin(next)
		if err != nil {
			continue
		}
		if reply.RetryAfterMillis == 0 {
			s.adoptSuspects(reply.Suspects)
			s.learn([]membership.Entry{reply.Self})
			s.fetchState(append(reply.Peers, mesh.Peer{ID: reply.Self.Record.ID, Addr: reply.Self.Record.MeshAddr}))
			return true
		}
		s.log.Emit(event.JoinDeferred, event.F("peer", next.Addr))
		peers = append(peers, reply.Peers...)
		if len(peers) == 0 && !s.sleepUnlessJoined(time.Duration(reply.RetryAfterMillis)*time.Millisecond) {
			return false
		}
	}
	return false
}

func (s *Service) askToJoin(peer mesh.Peer) (membership.JoinReply, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.timing.CallTimeout)
	defer cancel()
	s.mu.Lock()
	request := membership.JoinRequest{Record: s.table.Self().Record}
	s.mu.Unlock()
	var reply membership.JoinReply
	if err := s.options.Transport.Call(ctx, peer, mesh.KindJoin, request, &reply); err != nil {
		s.metrics.joins.WithLabelValues("failed").Inc()
		return reply, fmt.Errorf("join by %q: %w", peer.Addr, err)
	}
	if err := reply.Validate(); err != nil {
		s.refuse(peer, err)
		return reply, fmt.Errorf("join by %q: %w", peer.Addr, err)
	}
	return reply, nil
}

// adoptSuspects puts the suspects of the former process of this node into its
// record, unless this process has told some already.
func (s *Service) adoptSuspects(former []membership.Suspect) {
	s.mu.Lock()
	own := s.table.Self().Record.Suspects
	s.mu.Unlock()
	if len(former) > 0 && len(own) == 0 {
		s.SetSuspects(former)
	}
}

// fetchState exchanges with random peers until one has an equal table.
func (s *Service) fetchState(peers []mesh.Peer) {
	for range maxSyncRounds {
		s.mu.Lock()
		next := peers[s.random.IntN(len(peers))]
		s.mu.Unlock()
		equal, err := s.exchange(s.ctx, next)
		if equal || s.ctx.Err() != nil {
			return
		}
		if err != nil {
			s.sleep(s.timing.ExchangeGap)
		}
		s.mu.Lock()
		if known := s.table.RandomPeers(membership.MaxJoinPeers, s.table.DataCentre()); len(known) > 0 {
			peers = known
		}
		s.mu.Unlock()
	}
}

// completeJoin announces this node once it takes part.
func (s *Service) completeJoin() {
	s.joinOnce.Do(func() {
		close(s.joined)
		s.mu.Lock()
		own := s.table.Self()
		s.mu.Unlock()
		s.announce([]membership.Entry{own})
		s.log.Emit(event.MemberJoined, event.F("members", len(s.View().Members)))
	})
}

// onJoin admits a joiner at a bounded rate. The state itself comes from the
// peers of the reply.
func (s *Service) onJoin(_ context.Context, from mesh.Peer, body []byte) (any, error) {
	request, err := membership.Decode[membership.JoinRequest](body)
	if err != nil {
		s.refuse(from, err)
		return nil, err
	}
	s.mu.Lock()
	reply := membership.JoinReply{
		Self:  s.table.Self(),
		Peers: s.table.RandomPeers(membership.MaxJoinPeers, request.Record.DataCentre, request.Record.ID),
	}
	if former, ok := s.table.Get(request.Record.ID); ok {
		reply.Suspects = former.Record.Suspects
	}
	if len(reply.Peers) == 0 {
		reply.Peers = s.table.RandomPeers(membership.MaxJoinPeers, "", request.Record.ID)
	}
	s.mu.Unlock()
	if !s.admission.Allow() {
		s.metrics.joins.WithLabelValues("deferred").Inc()
		reply.RetryAfterMillis = uint32(s.jitter(retryAfter).Milliseconds())
		return reply, nil
	}
	s.metrics.joins.WithLabelValues("admitted").Inc()
	s.learn([]membership.Entry{{Record: request.Record, Status: membership.StatusAlive}})
	s.completeJoin()
	return reply, nil
}
