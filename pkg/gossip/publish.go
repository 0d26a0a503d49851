package gossip

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// View returns the newest picture.
func (s *Service) View() *membership.View { return s.view.Load() }

// Changed returns a channel that is closed at the next new picture.
func (s *Service) Changed() <-chan struct{} {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	return s.changed
}

// SetUpstreams replaces the upstreams in the local record and tells the peers.
func (s *Service) SetUpstreams(upstreams []model.Upstream) {
	s.announceOwn(func(t *membership.Table) membership.Entry { return t.SetUpstreams(upstreams) })
}

// SetSuspects replaces the suspects in the local record and tells the peers.
func (s *Service) SetSuspects(suspects []membership.Suspect) {
	s.announceOwn(func(t *membership.Table) membership.Entry { return t.SetSuspects(suspects) })
}

// SetStopping announces that this node stops.
func (s *Service) SetStopping() {
	s.announceOwn((*membership.Table).SetStopping)
}

func (s *Service) announceOwn(change func(*membership.Table) membership.Entry) {
	s.mu.Lock()
	own := change(s.table)
	s.changedAt = time.Now()
	s.mu.Unlock()
	s.publish()
	s.announce([]membership.Entry{own})
}

// touch asks for a new view. The caller holds mu.
func (s *Service) touch() {
	s.changedAt = time.Now()
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// publishLoop publishes changes, several at once when they come fast.
func (s *Service) publishLoop() {
	for {
		select {
		case <-s.dirty:
		case <-s.ctx.Done():
			return
		}
		s.publish()
		gap := publishGap + time.Duration(len(s.View().Members))*publishGapPerMember
		if !s.sleep(gap) {
			return
		}
	}
}

func (s *Service) publish() {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	s.mu.Lock()
	v := s.table.View()
	s.mu.Unlock()
	old := s.view.Load()
	if old != nil && old.Index >= v.Index {
		return
	}
	s.view.Store(v)
	s.metrics.countMembers(v)
	s.compareCentres(old, v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compareCentres logs data centres that were lost or found between two views.
func (s *Service) compareCentres(old, now *membership.View) {
	was, is := unreachable(old), unreachable(now)
	for dc := range is {
		if !was[dc] {
			s.log.Emit(event.CentreCut, event.F("dataCentre", dc))
		}
	}
	for dc := range was {
		if !is[dc] {
			s.log.Emit(event.CentreHealed, event.F("dataCentre", dc))
		}
	}
}

func unreachable(v *membership.View) map[model.DataCentre]bool {
	found := make(map[model.DataCentre]bool)
	if v == nil {
		return found
	}
	for _, m := range v.Members {
		if m.Status == membership.StatusUnreachable {
			found[m.DataCentre] = true
		}
	}
	return found
}

// observe logs and counts a change of a member's status.
func (s *Service) observe(t membership.Transition) {
	s.metrics.transitions.WithLabelValues(string(t.From), string(t.To)).Inc()
	events := map[membership.Status]event.Event{
		membership.StatusAlive:   event.MemberAlive,
		membership.StatusSuspect: event.MemberSuspect,
		membership.StatusFailed:  event.MemberFailed,
		membership.StatusLeft:    event.MemberLeft,
	}
	s.log.Emit(events[t.To],
		event.F("member", t.Member.ID),
		event.F("dataCentre", t.Member.DataCentre),
		event.F("incarnation", t.Member.Incarnation))
}

// learn takes entries from a peer and returns what was new.
func (s *Service) learn(entries []membership.Entry) []membership.Entry {
	s.mu.Lock()
	news := s.table.Apply(time.Now(), entries)
	s.mu.Unlock()
	s.heed(news)
	return news.Entries
}

// heed does what news ask for, whatever way they came.
func (s *Service) heed(news membership.News) {
	if len(news.Entries) == 0 {
		return
	}
	s.mu.Lock()
	s.touch()
	own := s.table.Self()
	if s.options.Dissemination == DisseminationGossip {
		s.rumours.Add(news.Entries, s.table.Len())
	}
	s.mu.Unlock()
	if news.Conflict {
		s.log.Emit(event.IDConflict, event.F("incarnation", own.Record.Incarnation))
	}
	if news.Refuted {
		s.metrics.refutations.Inc()
		s.log.Emit(event.SelfRefuted, event.F("incarnation", own.Record.Incarnation))
	}
	// Two processes with one id would outbid each other without end, so their
	// records only travel by anti-entropy, at its bounded rate.
	if news.Refuted && !news.Conflict {
		s.announce([]membership.Entry{own})
	}
}
