package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/outlier"
	"github.com/tarragondrum/tarragondrum/pkg/routing"
)

// still is a membership that changes only when a test says so.
type still struct {
	membership.Source
	view *membership.View
}

func (s *still) View() *membership.View { return s.view }

// mesh returns a view of n nodes in 12 data centres, each with one upstream of
// one of 460 services.
func mesh(n int) *membership.View {
	v := &membership.View{Index: 1, Self: "n0", Members: make(map[model.NodeID]membership.Member, n)}
	for i := range n {
		id := model.NodeID(fmt.Sprint("n", i))
		dc := i % 12
		v.Members[id] = membership.Member{Status: membership.StatusAlive, Record: membership.Record{
			ID: id, DataCentre: model.DataCentre(fmt.Sprint("dc", dc)), Region: model.Region(fmt.Sprint("r", dc/3)),
			InboundAddr: fmt.Sprintf("10.%d.%d.%d:80", dc, i/250, i%250),
			Upstreams:   []model.Upstream{{Name: "u", Service: fmt.Sprint("s", i%460), Slots: 9, State: model.UpstreamRunning}},
		}}
	}
	return v
}

// Only endpoints that may get calls are read, at their distance.
func TestTableReadsTheView(t *testing.T) {
	is := is.New(t)
	v := mesh(12)
	set := func(id model.NodeID, f func(*membership.Member)) {
		m := v.Members[id]
		m.Upstreams = []model.Upstream{{Name: "u", Service: "s", Slots: 1, State: model.UpstreamRunning}}
		f(&m)
		v.Members[id] = m
	}
	set("n0", func(*membership.Member) {})
	set("n1", func(m *membership.Member) { m.Status = membership.StatusSuspect })
	set("n2", func(m *membership.Member) { m.Upstreams[0].State = model.UpstreamLeaving })
	set("n3", func(m *membership.Member) { m.Status = membership.StatusUnreachable })
	set("n4", func(*membership.Member) {})
	set("n5", func(m *membership.Member) { m.Stopping = true })
	set("n6", func(m *membership.Member) { m.Status = membership.StatusFailed })
	set("n7", func(m *membership.Member) { m.Status = membership.StatusLeft })
	e := newTable(&still{view: v}, func(*membership.View) {}).entry("s")
	got := map[model.NodeID]routing.Tier{}
	for _, p := range e.endpoints {
		got[p.Node] = p.Tier
		is.Equal(p.Doubtful, p.Node == "n1")
	}
	is.Equal(got, map[model.NodeID]routing.Tier{
		"n0": routing.TierDataCentre, "n1": routing.TierRegion, "n3": routing.TierUnreachable, "n4": routing.TierRemote,
	})
}

// What was observed of an endpoint outlives a change of the membership, but an
// upstream that was started again begins anew.
func TestTableKeepsWhatItObserved(t *testing.T) {
	is := is.New(t)
	src := &still{view: mesh(460)}
	table := newTable(src, func(*membership.View) {})
	e := table.entry("s1")
	now := time.Now()
	c := &call{ejected: 100}
	for range 5 {
		p := e.pick(c, nil, now)
		e.done(p, c, "", verdictBad, 0, now)
	}
	is.Equal(e.ejected(now), 1)
	src.view = mesh(460)
	src.view.Index = 2
	table.update()
	is.Equal(e.ejected(now), 1)
	src.view = mesh(460)
	src.view.Index = 3
	src.view.Members["n1"].Upstreams[0].Since = now
	table.update()
	is.Equal(e.endpoints[0].State.Outlier, outlier.Endpoint{})
}

// A host whose clock is ahead does not keep its upstream cold.
func TestClockAheadDoesNotKeepAnUpstreamCold(t *testing.T) {
	is := is.New(t)
	src := &still{view: mesh(460)}
	src.view.Members["n1"].Upstreams[0].Since = time.Now().Add(time.Hour)
	table := newTable(src, func(*membership.View) {})
	e := table.entry("s1")
	since := e.endpoints[0].Since
	is.True(!since.After(time.Now()))
	next := *src.view
	next.Index = 2
	src.view = &next
	table.update()
	is.True(e.endpoints[0].Since.Equal(since)) // the warm-up goes on
}

// BenchmarkTableUpdate reads a change of a mesh of 8,200 nodes on a node that
// calls 20 services.
func BenchmarkTableUpdate(b *testing.B) {
	src := &still{view: mesh(8200)}
	table := newTable(src, func(*membership.View) {})
	for i := range 20 {
		table.entry(fmt.Sprint("s", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		next := *src.view
		next.Index++
		src.view = &next
		table.update()
	}
}
