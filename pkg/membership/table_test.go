package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

var start = time.Unix(1_800_000_000, 0)

func record(id string, dc model.DataCentre) membership.Record {
	return membership.Record{ID: model.NodeID(id), DataCentre: dc, MeshAddr: "10.0.0.1:7400", Incarnation: 10}
}

func newTable(self string, dc model.DataCentre) *membership.Table {
	return membership.NewTable(membership.DefaultConfig(), record(self, dc), start, rand.New(rand.NewPCG(1, 2)), nil)
}

func drawEntry(t *rapid.T) membership.Entry {
	n := rapid.IntRange(0, 5).Draw(t, "node")
	r := record(fmt.Sprintf("n%d", n), model.DataCentre(fmt.Sprintf("dc%d", n%3)))
	r.Incarnation = rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	r.Revision = rapid.Uint64Range(0, 4).Draw(t, "revision")
	return membership.Entry{Record: r, Status: rapid.SampledFrom([]membership.Status{
		membership.StatusAlive, membership.StatusSuspect, membership.StatusFailed, membership.StatusLeft,
	}).Draw(t, "status")}
}

var order = map[membership.Status]int{
	membership.StatusAlive: 0, membership.StatusSuspect: 1, membership.StatusFailed: 2, membership.StatusLeft: 3,
}

// back reports whether now is older than before in any respect.
func back(before, now membership.Entry) bool {
	if before.Record.Incarnation != now.Record.Incarnation {
		return now.Record.Incarnation < before.Record.Incarnation
	}
	return now.Record.Revision < before.Record.Revision || order[now.Status] < order[before.Status]
}

func TestRecordsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable("self", "dc0")
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			e := drawEntry(t)
			before, known := table.Get(e.Record.ID)
			table.Apply(start, []membership.Entry{e})
			now, _ := table.Get(e.Record.ID)
			if known && back(before, now) {
				t.Fatalf("%v went back to %v", before, now)
			}
		}
	})
}

// Whatever the order in which entries arrive, the digests end up equal.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 30).Draw(t, "entries")
		shuffled := rapid.Permutation(entries).Draw(t, "shuffled")
		a, b := newTable("self", "dc0"), newTable("self", "dc0")
		a.Apply(start, entries)
		b.Apply(start, shuffled)
		if a.Digest() != b.Digest() {
			t.Fatalf("tables differ after the same entries")
		}
	})
}

// An exchange makes two tables equal, whatever each of them knows.
func TestExchangeRepairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTable("a", "dc0"), newTable("b", "dc1")
		a.Apply(start, rapid.SliceOfN(rapid.Custom(drawEntry), 0, 30).Draw(t, "of a"))
		b.Apply(start, rapid.SliceOfN(rapid.Custom(drawEntry), 0, 30).Draw(t, "of b"))
		x := a.StartExchange()
		for rounds := 0; x.Step != membership.StepDone; rounds++ {
			if rounds > 4 {
				t.Fatalf("exchange does not end")
			}
			reply, _ := b.Respond(start, x)
			if reply.Step == membership.StepDone && x.Step == membership.StepDigest {
				break
			}
			x, _ = a.Continue(start, reply)
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("tables differ after an exchange")
		}
	})
}

func TestRefutationBeatsSuspicion(t *testing.T) {
	is := is.New(t)
	table := newTable("self", "dc0")
	alive := membership.Entry{Record: record("n1", "dc0"), Status: membership.StatusAlive}
	table.Apply(start, []membership.Entry{alive})
	suspect, ok := table.Suspect(start, "n1", 10)
	is.True(ok)
	refuted := alive
	refuted.Record.Incarnation = 11
	table.Apply(start, []membership.Entry{refuted})
	table.Apply(start, []membership.Entry{suspect}) // arrives late
	now, _ := table.Get("n1")
	is.Equal(now.Status, membership.StatusAlive)
	is.Equal(len(table.Expire(start.Add(time.Hour))), 0)
}

func TestNodeDefendsItself(t *testing.T) {
	is := is.New(t)
	table := newTable("self", "dc0")
	claim := table.Self()
	claim.Status = membership.StatusFailed
	news := table.Apply(start, []membership.Entry{claim})
	is.True(news.Refuted)
	is.Equal(table.Self().Record.Incarnation, uint64(11))
	is.Equal(table.Self().Status, membership.StatusAlive)

	other := table.Self()
	other.Record.MeshAddr = "10.0.0.9:7400"
	other.Record.Incarnation = 50
	news = table.Apply(start, []membership.Entry{other})
	is.True(news.Conflict)
	is.Equal(table.Self().Record.Incarnation, uint64(51))
}

func TestCutDataCentreIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable("self", "dc0")
		table.Apply(start, rapid.SliceOfN(rapid.Custom(drawEntry), 1, 30).Draw(t, "entries"))
		before := table.View()
		lead := record("self", "dc0")
		lead.ID = "n9"
		table.Apply(start, []membership.Entry{{Record: lead, Status: membership.StatusAlive}})
		for _, p := range table.Leads("dc0") { // every lead reports the cut
			e, _ := table.Get(p.ID)
			e.Record.Unreachable = []model.DataCentre{"dc1"}
			e.Record.Revision++
			table.Apply(start, []membership.Entry{e})
		}
		table.SetUnreachable([]model.DataCentre{"dc1"})
		table.Expire(start.Add(100 * 24 * time.Hour))
		now := table.View()
		for id, m := range before.Members {
			if m.DataCentre != "dc1" {
				continue
			}
			kept, ok := now.Members[id]
			if !ok {
				t.Fatalf("%q was removed", id)
			}
			if m.Status == membership.StatusAlive && kept.Status != membership.StatusUnreachable {
				t.Fatalf("%q is %s", id, kept.Status)
			}
		}
	})
}

func TestGoneMembersAreForgotten(t *testing.T) {
	is := is.New(t)
	table := newTable("self", "dc0")
	old := membership.Entry{Record: record("n1", "dc0"), Status: membership.StatusFailed, AgeSeconds: 3600}
	table.Apply(start, []membership.Entry{old})
	is.Equal(table.Len(), 2)
	table.Expire(start.Add(23 * time.Hour))
	is.Equal(table.Len(), 1) // 24 hours since it failed
	old.AgeSeconds = 25 * 3600
	table.Apply(start, []membership.Entry{old})
	is.Equal(table.Len(), 1) // a peer's older memory does not bring it back
}

// Every member is probed once a round.
func TestProbeOrderIsAPermutation(t *testing.T) {
	is := is.New(t)
	table := newTable("self", "dc0")
	for i := range 20 {
		table.Apply(start, []membership.Entry{{Record: record(fmt.Sprintf("n%02d", i), "dc0"), Status: membership.StatusAlive}})
	}
	for range 3 {
		seen := make(map[model.NodeID]bool)
		for range 20 {
			e, ok := table.NextProbe()
			is.True(ok)
			seen[e.Record.ID] = true
		}
		is.Equal(len(seen), 20)
	}
}
