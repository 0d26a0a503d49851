package calls

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// gossipDelay is the time after which other nodes see a change of a member.
const gossipDelay = 50 * time.Millisecond

// members stands for the membership of all nodes of a run. A node sees its own
// changes at once and those of others after gossipDelay.
type members struct {
	mu      sync.Mutex
	index   uint64
	all     map[model.NodeID]membership.Member
	changed chan struct{}
}

func newMembers() *members {
	return &members{all: make(map[model.NodeID]membership.Member), changed: make(chan struct{})}
}

// set publishes a member to every node.
func (m *members) set(member membership.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = maps.Clone(m.all)
	m.all[member.ID] = member
	m.index++
	close(m.changed)
	m.changed = make(chan struct{})
}

// source is the membership service of one node.
type source struct {
	*members
	ownMu sync.Mutex
	own   membership.Member
}

// Name implements kernel.Service.
func (*source) Name() string { return "membership" }

// Needs implements kernel.Service.
func (*source) Needs() []string { return nil }

// Start implements kernel.Service.
func (*source) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (*source) Stop(context.Context) error { return nil }

// change edits the node's own record and tells the others later.
func (s *source) change(edit func(*membership.Member)) {
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	edit(&s.own)
	s.own.Revision++
	member := s.own
	s.wake()
	time.AfterFunc(gossipDelay, func() { s.publish(member) })
}

// publish tells the others unless a newer record has been told.
func (s *source) publish(member membership.Member) {
	s.mu.Lock()
	old, ok := s.all[member.ID]
	s.mu.Unlock()
	if ok && old.Incarnation == member.Incarnation && old.Revision >= member.Revision || old.Incarnation > member.Incarnation {
		return
	}
	s.set(member)
}

// wake makes the node's own services look at the view again.
func (s *source) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

// View implements membership.Source.
func (s *source) View() *membership.View {
	s.ownMu.Lock()
	own := s.own
	s.ownMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := maps.Clone(s.all)
	all[own.ID] = own
	return &membership.View{Index: s.index, Self: own.ID, Members: all}
}

// Changed implements membership.Source.
func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetUpstreams implements membership.Source.
func (s *source) SetUpstreams(upstreams []model.Upstream) {
	s.change(func(m *membership.Member) { m.Upstreams = upstreams })
}

// SetSuspects implements membership.Source.
func (s *source) SetSuspects(suspects []membership.Suspect) {
	s.change(func(m *membership.Member) { m.Suspects = suspects })
}

// SetStopping implements membership.Source.
func (s *source) SetStopping() {
	s.change(func(m *membership.Member) { m.Stopping = true })
}
