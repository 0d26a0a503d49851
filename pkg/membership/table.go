package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Config holds the timing and shape of the membership.
type Config struct {
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout time.Duration
	// FailedRetention and LeftRetention are the times for which members that are
	// gone are remembered. Failed members are probed at a low rate meanwhile.
	FailedRetention time.Duration
	LeftRetention   time.Duration
	// Leads is the number of leads of a data centre.
	Leads int
}

// DefaultConfig returns the configuration of a node in production.
func DefaultConfig() Config {
	return Config{
		SuspicionTimeout: 3 * time.Second,
		FailedRetention:  24 * time.Hour,
		LeftRetention:    time.Hour,
		Leads:            3,
	}
}

// member is one member of the table.
type member struct {
	Entry
	// since is the time at which the status was reached.
	since time.Time
}

// Table holds everything that a node knows of the mesh. It is not safe for
// concurrent use.
type Table struct {
	config    Config
	random    *rand.Rand
	self      model.NodeID
	members   map[model.NodeID]*member
	centres   map[model.DataCentre]*centre
	lifecycle *lifecycle
	order     probeOrder
	index     uint64
	digest    uint64
}

// NewTable returns a table that holds only the local record. observe is called
// for each change of a member's status and may be nil.
func NewTable(config Config, self Record, now time.Time, random *rand.Rand, observe func(Transition)) *Table {
	if observe == nil {
		observe = func(Transition) {}
	}
	t := &Table{
		config:    config,
		random:    random,
		self:      self.ID,
		members:   make(map[model.NodeID]*member),
		centres:   make(map[model.DataCentre]*centre),
		lifecycle: newLifecycle(observe),
		index:     1,
	}
	t.insert(Entry{Record: self, Status: StatusAlive}, now)
	return t
}

// Self returns the local entry.
func (t *Table) Self() Entry { return t.members[t.self].Entry }

// Index grows with every change of the table.
func (t *Table) Index() uint64 { return t.index }

// Digest is equal on two nodes that know the same of all members that are not
// gone.
func (t *Table) Digest() uint64 { return t.digest }

// Len returns the number of members, those that are gone included.
func (t *Table) Len() int { return len(t.members) }

// Get returns what is known of a member.
func (t *Table) Get(id model.NodeID) (Entry, bool) {
	m, ok := t.members[id]
	if !ok {
		return Entry{}, false
	}
	return m.Entry, true
}

// News is the effect of entries that a node received.
type News struct {
	// Entries are those that taught this node something, merged with what it
	// knew, and the local entry if it had to be defended.
	Entries []Entry
	// Refuted tells that the local incarnation was raised.
	Refuted bool
	// Conflict tells that another process seems to use the local node id.
	Conflict bool
}

// Apply merges entries from a peer into the table.
func (t *Table) Apply(now time.Time, entries []Entry) News {
	var news News
	for _, e := range entries {
		if e.Record.ID == t.self {
			t.defend(e, &news)
			continue
		}
		if t.merge(e, now) {
			news.Entries = append(news.Entries, t.members[e.Record.ID].Entry)
		}
	}
	return news
}

// defend raises the local incarnation if a peer believes something of this
// node that it did not say.
func (t *Table) defend(e Entry, news *News) {
	own := t.members[t.self]
	conflict := e.Record.MeshAddr != own.Record.MeshAddr && e.Record.Incarnation >= own.Record.Incarnation
	if own.Status == StatusLeft || !conflict && !e.stamp().adds(own.stamp()) {
		return
	}
	news.Conflict = news.Conflict || conflict
	t.change(own, func() {
		own.Record.Incarnation = max(e.Record.Incarnation, own.Record.Incarnation) + 1
		own.Record.Revision = max(e.Record.Revision, own.Record.Revision) + 1
	})
	news.Refuted = true
	news.Entries = append(news.Entries, own.Entry)
}

// merge takes what e adds and reports whether it added anything.
func (t *Table) merge(e Entry, now time.Time) bool {
	since := now.Add(-time.Duration(e.AgeSeconds) * time.Second)
	m, ok := t.members[e.Record.ID]
	if !ok {
		if gone(e.Status) && now.Sub(since) >= t.retention(e.Status) {
			return false
		}
		t.insert(e, since)
		return true
	}
	theirs, ours := e.stamp(), m.stamp()
	if !theirs.adds(ours) {
		return false
	}
	t.change(m, func() {
		if theirs.incarnation > ours.incarnation || theirs.revision > ours.revision {
			m.Record = e.Record
		}
		if theirs.incarnation > ours.incarnation || theirs.rank > ours.rank {
			t.lifecycle.move(m, e.Status)
			m.since = since
		}
	})
	return true
}

func (t *Table) retention(s Status) time.Duration {
	if s == StatusLeft {
		return t.config.LeftRetention
	}
	return t.config.FailedRetention
}

func (t *Table) insert(e Entry, since time.Time) {
	e.AgeSeconds = 0
	m := &member{Entry: e, since: since}
	t.members[e.Record.ID] = m
	t.toggle(m)
	t.centreOf(m).membersChanged()
	t.index++
	t.follow(m)
}

func (t *Table) remove(m *member) {
	t.toggle(m)
	t.centreOf(m).membersChanged()
	delete(t.members, m.Record.ID)
	t.index++
}

// change applies f to a member and keeps digests and roles in step.
func (t *Table) change(m *member, f func()) {
	dc, status := m.Record.DataCentre, m.Status
	t.toggle(m)
	f()
	t.toggle(m)
	t.index++
	if m.Status != status || m.Record.DataCentre != dc {
		t.centre(dc).membersChanged()
		t.centreOf(m).membersChanged()
		t.follow(m)
	}
}

// SetUpstreams replaces the local upstreams and returns the local entry.
func (t *Table) SetUpstreams(upstreams []model.Upstream) Entry {
	return t.revise(func(r *Record) { r.Upstreams = slices.Clone(upstreams) })
}

// SetSuspects replaces the local suspects and returns the local entry.
func (t *Table) SetSuspects(suspects []Suspect) Entry {
	return t.revise(func(r *Record) { r.Suspects = slices.Clone(suspects) })
}

// SetStopping marks the local record and returns the local entry.
func (t *Table) SetStopping() Entry {
	return t.revise(func(r *Record) { r.Stopping = true })
}

// SetUnreachable replaces the data centres that this node cannot reach. It
// returns the local entry and whether it changed.
func (t *Table) SetUnreachable(centres []model.DataCentre) (Entry, bool) {
	if slices.Equal(centres, t.members[t.self].Record.Unreachable) {
		return t.Self(), false
	}
	return t.revise(func(r *Record) { r.Unreachable = slices.Clone(centres) }), true
}

// Leave marks this node as left and returns the local entry.
func (t *Table) Leave(now time.Time) Entry {
	own := t.members[t.self]
	t.change(own, func() {
		own.Record.Revision++
		t.lifecycle.move(own, StatusLeft)
		own.since = now
	})
	return own.Entry
}

func (t *Table) revise(f func(*Record)) Entry {
	own := t.members[t.self]
	t.change(own, func() {
		f(&own.Record)
		own.Record.Revision++
	})
	return own.Entry
}

// View returns an immutable picture of the table.
func (t *Table) View() *View {
	v := &View{Index: t.index, Self: t.self, Members: make(map[model.NodeID]Member, len(t.members))}
	cut := t.UnreachableCentres()
	for id, m := range t.members {
		status := m.Status
		if !gone(status) && slices.Contains(cut, m.Record.DataCentre) {
			status = StatusUnreachable
		}
		v.Members[id] = Member{Record: m.Record, Status: status}
	}
	return v
}
