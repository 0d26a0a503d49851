package quarantine_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/poison"
	"github.com/tarragondrum/tarragondrum/pkg/quarantine"
)

// shared is the membership of all nodes of a test.
type shared struct {
	mu      sync.Mutex
	members map[model.NodeID]membership.Member
	changed chan struct{}
}

// source is one node's part of it.
type source struct {
	*shared
	self model.NodeID
}

func (source) Name() string                                { return "membership" }
func (source) Needs() []string                             { return nil }
func (source) Start(context.Context, *kernel.Kernel) error { return nil }
func (source) Stop(context.Context) error                  { return nil }
func (source) SetUpstreams([]model.Upstream)               {}
func (source) SetStopping()                                {}

func (s source) View() *membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &membership.View{Self: s.self, Members: make(map[model.NodeID]membership.Member)}
	for id, m := range s.members {
		v.Members[id] = m
	}
	return v
}

func (s source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s source) SetSuspects(suspects []membership.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[s.self] = membership.Member{Record: membership.Record{ID: s.self, Suspects: suspects}}
	close(s.changed)
	s.changed = make(chan struct{})
}

func start(t *testing.T, ids ...model.NodeID) []*quarantine.Service {
	is := is.New(t)
	all := &shared{members: make(map[model.NodeID]membership.Member), changed: make(chan struct{})}
	var services []*quarantine.Service
	for _, id := range ids {
		s := quarantine.New(metric.NewRegistry(), event.Discard())
		k := kernel.New()
		is.NoErr(k.Register(source{all, id}, s))
		is.NoErr(k.Start(t.Context(), time.Second))
		t.Cleanup(func() { is.NoErr(k.Stop(time.Second)) })
		services = append(services, s)
	}
	return services
}

const killer = 99

// crash runs the killer among calls that end well elsewhere.
func crash(s *quarantine.Service) {
	end := s.Begin("u", killer)
	bystander := s.Begin("u", 1)
	end(poison.EndCrashed)
	bystander(poison.EndCrashed)
	time.Sleep(time.Second)
}

// Two crashes on different nodes put a call into quarantine on every node, for
// a time; its bystanders go on. An operator lifts it on any node.
func TestQuarantineOnEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := start(t, "a", "b", "c")
		for _, s := range nodes {
			s.Begin("u", 1)(poison.EndAlive)
		}
		crash(nodes[0])
		is.True(!nodes[2].Quarantined(killer))
		crash(nodes[1])
		for _, s := range nodes {
			is.True(s.Quarantined(killer))
			is.True(!s.Quarantined(1))
		}
		is.Equal(nodes[2].List()[0].Crashes, 2)
		nodes[2].Lift(killer, "anna")
		time.Sleep(2 * time.Second)
		for _, s := range nodes {
			is.True(!s.Quarantined(killer))
		}
		crash(nodes[0])
		crash(nodes[1])
		is.True(nodes[2].Quarantined(killer))
		time.Sleep(2 * poison.Retention)
		is.True(!nodes[2].Quarantined(killer))
		is.Equal(len(nodes[2].List()), 0)
	})
}
