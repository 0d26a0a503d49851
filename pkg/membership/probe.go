package membership

import (
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// probeOrder is a random permutation of the members to probe. Each member is
// probed once a round, whatever the luck.
type probeOrder struct {
	ids  []model.NodeID
	next int
}

// follow puts a member that came or returned at a random place in what is left
// of the round.
func (t *Table) follow(m *member) {
	id := m.Record.ID
	if !t.probed(m) || slices.Contains(t.order.ids[t.order.next:], id) {
		return
	}
	place := t.order.next + t.random.IntN(len(t.order.ids)-t.order.next+1)
	t.order.ids = slices.Insert(t.order.ids, place, id)
}

// probed reports whether this node probes m: it does so for the others of its
// data centre that are not gone.
func (t *Table) probed(m *member) bool {
	return m.Record.ID != t.self && !gone(m.Status) && m.Record.DataCentre == t.DataCentre()
}

// NextProbe returns the next member to probe.
func (t *Table) NextProbe() (Entry, bool) {
	for range 2 {
		for t.order.next < len(t.order.ids) {
			m, ok := t.members[t.order.ids[t.order.next]]
			t.order.next++
			if ok && t.probed(m) {
				return m.Entry, true
			}
		}
		t.shuffle()
	}
	return Entry{}, false
}

func (t *Table) shuffle() {
	t.order = probeOrder{}
	for id, m := range t.members {
		if t.probed(m) {
			t.order.ids = append(t.order.ids, id)
		}
	}
	slices.Sort(t.order.ids)
	t.random.Shuffle(len(t.order.ids), func(i, j int) {
		t.order.ids[i], t.order.ids[j] = t.order.ids[j], t.order.ids[i]
	})
}

// RandomFailed returns a failed member of this node's data centre, to see
// whether its host has returned.
func (t *Table) RandomFailed() (mesh.Peer, bool) {
	var ids []model.NodeID
	for id, m := range t.members {
		if m.Status == StatusFailed && m.Record.DataCentre == t.DataCentre() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return mesh.Peer{}, false
	}
	slices.Sort(ids)
	return t.members[ids[t.random.IntN(len(ids))]].peer(), true
}

// Suspect notes that a probe of the given incarnation was not answered. It
// returns the entry to tell the peers, and false if nothing changed.
func (t *Table) Suspect(now time.Time, id model.NodeID, incarnation uint64) (Entry, bool) {
	m, ok := t.members[id]
	if !ok || id == t.self || m.Status != StatusAlive || m.Record.Incarnation != incarnation {
		return Entry{}, false
	}
	t.change(m, func() {
		t.lifecycle.move(m, StatusSuspect)
		m.since = now
	})
	return m.Entry, true
}

// Expire fails the suspects of this data centre that did not refute in time,
// and returns them. It forgets members that are gone for longer than their
// retention, but none of a data centre that cannot be reached.
func (t *Table) Expire(now time.Time) []Entry {
	var failed []Entry
	cut := t.UnreachableCentres()
	for _, m := range t.members {
		switch {
		case m.Status == StatusSuspect && m.Record.DataCentre == t.DataCentre():
			if now.Sub(m.since) < t.config.SuspicionTimeout {
				continue
			}
			t.change(m, func() {
				t.lifecycle.move(m, StatusFailed)
				m.since = now
			})
			failed = append(failed, m.Entry)
		case gone(m.Status) && m.Record.ID != t.self:
			if now.Sub(m.since) < t.retention(m.Status) || slices.Contains(cut, m.Record.DataCentre) {
				continue
			}
			t.remove(m)
		}
	}
	return failed
}
