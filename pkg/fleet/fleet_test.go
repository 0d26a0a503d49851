package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// The table ends with the newest record of each host, in whatever order records arrive.
func TestNewestRecordWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := fleet.NewTable()
		newest := make(map[string][2]int64)
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			h := fleet.Host{
				Node: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"), PeerAddress: "127.0.0.1:1",
				Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"), Change: rapid.Int64Range(0, 3).Draw(t, "change"),
			}
			at := [2]int64{h.Incarnation, h.Change}
			old, known := newest[h.Node]
			isNewer := !known || at[0] > old[0] || at[0] == old[0] && at[1] > old[1]
			if table.Merge(h) != isNewer {
				t.Fatalf("record %v after %v", at, old)
			}
			if isNewer {
				newest[h.Node] = at
			}
		}
		for node, at := range newest {
			h, _ := table.Get(node)
			if h.Incarnation != at[0] || h.Change != at[1] {
				t.Fatalf("host %s is at %d.%d, newest is %v", node, h.Incarnation, h.Change, at)
			}
		}
	})
}

// A restarted node that does not know yet that its upstream has ended sends a newer record
// with a ready upstream. The record does not make that upstream ready again, but a later
// start of the upstream does.
func TestRestartedNodeDoesNotReviveUpstream(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	host := fleet.Host{Node: "a", PeerAddress: "127.0.0.1:1", Incarnation: 1, Change: 2, Upstream: fleet.Upstream{ID: "u", Born: 5, State: fleet.StateGone}}
	is.True(table.Merge(host))
	host.Incarnation, host.Change, host.Upstream.State = 2, 1, fleet.StateReady
	is.True(table.Merge(host))
	h, _ := table.Get("a")
	is.Equal(h.Incarnation, int64(2))
	is.Equal(h.Upstream.State, fleet.StateGone)
	host.Change, host.Upstream.Born = 2, 6 // a later start
	is.True(table.Merge(host))
	h, _ = table.Get("a")
	is.Equal(h.Upstream.State, fleet.StateReady)
}

// A removal that names an earlier incarnation does not delete a later one.
func TestRemovalOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	is.True(table.Merge(fleet.Host{Node: "a", PeerAddress: "127.0.0.1:1", Incarnation: 2}))
	is.True(!table.Remove(fleet.Removal{Node: "a", Incarnation: 1}))
	is.True(table.Remove(fleet.Removal{Node: "a", Incarnation: 2}))
	is.True(!table.Merge(fleet.Host{Node: "", PeerAddress: "127.0.0.1:1"}))
}

// Nodes on larger hosts rank first, and nodes of equal size are ordered by name.
func TestRank(t *testing.T) {
	is := is.New(t)
	small, large := fleet.Rank(fleet.Size(0.16, 5), "a"), fleet.Rank(fleet.Size(0.8, 100), "b")
	is.True(large < small)
	is.True(fleet.Rank(fleet.Size(0.16, 5), "a") < fleet.Rank(fleet.Size(0.16, 5), "b"))
	is.True(fleet.Rank(fleet.Size(64, 100_000), "b") < large)
}

// One lead remains while all nodes receive its announcements. When it stops announcing,
// exactly one other node takes over within a second. Of two leads, one steps down.
func TestOneLeadRemains(t *testing.T) {
	is := is.New(t)
	delays := map[string]time.Duration{"a": 100 * time.Millisecond, "b": 200 * time.Millisecond, "c": 300 * time.Millisecond}
	covers := make(map[string]*fleet.LeadElection)
	for name, delay := range delays {
		covers[name] = fleet.NewLeadElection(name, delay)
	}
	now := time.Unix(0, 0)
	silent := make(map[string]bool)
	// runSecond simulates one second. It returns the leads at its end and the maximum number
	// of leads at one time.
	runSecond := func() (leads string, most int) {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			leads = ""
			for _, name := range []string{"a", "b", "c"} {
				if silent[name] || !covers[name].Leads(now) {
					continue
				}
				leads += name
				for other, c := range covers {
					if other != name {
						c.RecordAnnouncement(now, name)
					}
				}
			}
			most = max(most, len(leads))
		}
		return leads, most
	}
	for name, c := range covers {
		c.SetTimes(0, fleet.AnnouncementValidity)
		is.True(c.Leads(now)) // with no delay, each node leads at once
		c.SetTimes(delays[name], fleet.AnnouncementValidity)
	}
	leads, _ := runSecond()
	is.Equal(leads, "a")
	silent["a"] = true
	leads, most := runSecond()
	is.Equal(leads, "b")
	is.Equal(most, 1)
	silent["a"] = false // a announces again and still considers itself the lead
	leads, _ = runSecond()
	is.Equal(leads, "a")
}
