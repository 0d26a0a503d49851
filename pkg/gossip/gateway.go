package gossip

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/contacts"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// gatewayLoop lets a lead exchange with every other data centre, and judges
// which of them cannot be reached.
func (s *Service) gatewayLoop() {
	for s.sleep(s.timing.GatewayInterval) {
		s.mu.Lock()
		lead := s.table.LeadRank() >= 0
		targets := s.centreTargets()
		s.mu.Unlock()
		if !lead {
			s.forgetFailures()
			s.setUnreachable(nil)
			continue
		}
		s.setUnreachable(s.visitCentres(targets))
	}
}

// visitCentres exchanges with one member of each data centre and returns those
// that could not be reached for several rounds, sorted.
func (s *Service) visitCentres(targets map[model.DataCentre][]mesh.Peer) []model.DataCentre {
	var wg sync.WaitGroup
	for dc, peers := range targets {
		wg.Go(func() { s.visit(dc, peers) })
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var cut []model.DataCentre
	for dc, failures := range s.centreFail {
		if failures >= centreFailures {
			cut = append(cut, dc)
		}
	}
	slices.Sort(cut)
	return cut
}

func (s *Service) visit(dc model.DataCentre, peers []mesh.Peer) {
	s.mu.Lock()
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.mu.Unlock()
	reached := false
	for _, p := range peers[:min(len(peers), visitTries)] {
		_, err := s.exchange(s.ctx, p)
		if s.ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, mesh.ErrBusy) || errors.Is(err, mesh.ErrRefused) {
			reached = true
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reached {
		delete(s.centreFail, dc)
		return
	}
	s.centreFail[dc]++
}

// forgetFailures ends the judgement of a node that is no longer a lead.
func (s *Service) forgetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.centreFail)
}

func (s *Service) setUnreachable(centres []model.DataCentre) {
	s.mu.Lock()
	own, changed := s.table.SetUnreachable(centres)
	if changed {
		s.touch()
	}
	s.mu.Unlock()
	if changed {
		s.announce([]membership.Entry{own})
	}
}

// contactsLoop lets the first lead keep the contact object of its data centre,
// and look into the others for parts of the mesh that it does not know.
func (s *Service) contactsLoop() {
	wait := s.timing.ContactsInterval / firstContactsShare
	for s.sleep(wait) {
		wait = s.timing.ContactsInterval
		s.mu.Lock()
		first := s.table.LeadRank() == 0
		s.mu.Unlock()
		if first {
			s.keepContacts()
		}
	}
}

func (s *Service) keepContacts() {
	ctx, cancel := context.WithTimeout(s.ctx, s.timing.CallTimeout)
	defer cancel()
	all, revisions, err := s.book.List(ctx)
	if err != nil {
		s.log.Emit(event.ContactsFailed, event.F("error", err))
		return
	}
	s.findStrangers(all)
	dc := s.self().DataCentre
	wanted, fresh := s.wantedContacts(all[dc])
	if fresh {
		return
	}
	err = s.book.Put(ctx, dc, wanted, revisions[dc])
	switch {
	case err == nil:
		s.log.Emit(event.ContactsWritten, event.F("contacts", len(wanted)))
	case !errors.Is(err, contacts.ErrRaced):
		s.log.Emit(event.ContactsFailed, event.F("error", err))
	}
}

// wantedContacts returns the contacts that this data centre should have, and
// whether the written ones are still good: as many, and all of them alive.
func (s *Service) wantedContacts(written contacts.Centre) (wanted []contacts.Contact, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leads := s.table.Leads(s.table.DataCentre())
	peers := slices.Clone(leads)
	for _, p := range s.table.RandomPeers(contacts.MaxPerCentre, s.table.DataCentre()) {
		if len(peers) < contacts.MaxPerCentre/2 && !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	for _, p := range peers {
		wanted = append(wanted, contacts.Contact{ID: p.ID, Addr: p.Addr})
	}
	alive := 0
	for _, c := range written.Contacts {
		if p, ok := s.table.Peer(c.ID); ok && p.Addr == c.Addr {
			alive++
		}
	}
	return wanted, alive == len(written.Contacts) && alive >= len(wanted)
}

// findStrangers exchanges with a contact that is not a member, which joins
// parts of the mesh that grew apart while the platform was down.
func (s *Service) findStrangers(all map[model.DataCentre]contacts.Centre) {
	for _, centre := range all {
		for _, c := range centre.Contacts {
			s.mu.Lock()
			_, known := s.table.Peer(c.ID)
			s.mu.Unlock()
			if !known && c.ID != s.self().ID && time.Since(centre.Time) < s.options.Table.FailedRetention {
				s.requestSync(c.Peer())
			}
		}
	}
}
