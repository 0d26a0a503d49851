package host

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const testSettings = `{
  "node": {"id": "a", "dataCentre": "dc", "region": "r", "ip": "127.91.250.1", "memoryMB": 128, "cpuShare": 1, "linkMbps": 100},
  "upstream": {"address": "127.91.250.1:9000", "service": "desk"},
  "listen": {"outbound": "127.91.250.1:8081", "ready": "127.91.250.1:8083", "announce": "127.91.250.1:8082", "peerPort": 7100, "metricsPort": 9464},
  "store": {"address": "127.91.250.1:7000"},
  "bounds": {"graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64},
}`

// A record's incarnation may grow while calls are open. The process identifier by which
// other nodes recognise these calls must not change, or they would run again.
func TestCallsKeepTheirProcess(t *testing.T) {
	is := is.New(t)
	n := newUnstartedNode(t)
	before, incarnation := n.peers.self().Incarnation(), n.record.incarnation()
	n.record.learnFromPeer(fleet.Host{Node: "a", PeerAddress: "127.91.250.1:7100", Incarnation: incarnation + 10})
	is.True(n.record.incarnation() > incarnation)
	is.Equal(n.peers.self().Incarnation(), before)
	is.True(newUnstartedNode(t).peers.self().Incarnation() != before)
}

// newUnstartedNode returns a node with the test settings that is not started.
func newUnstartedNode(t *testing.T) *Node {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.jsonc")
	if err := os.WriteFile(path, []byte(testSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	n, err := New(path, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A node that was frozen first processes announcements of connections that have ended
// meanwhile. Its requests on these are lost; it must send one on the live connection within
// two attempts.
func TestPullAfterDeadConnections(t *testing.T) {
	is := is.New(t)
	n := newUnstartedNode(t)
	dead := func(*link.StateUpdate) bool { return true }
	announcement := &link.StateUpdate{LeadRank: "0", ConfigVersion: 5}
	for range 50 {
		n.peers.handleNews("lead", announcement, dead)
	}
	asked := 0
	live := func(news *link.StateUpdate) bool {
		if news.WantConfigAfter != nil {
			asked++
		}
		return true
	}
	for range 20 {
		n.peers.handleNews("lead", announcement, live)
		time.Sleep(smallAnnounceInterval / 2)
	}
	is.True(asked >= 2)
}

// A host whose clock stepped back since its removal is refused by all nodes until its
// record is newer than the removal. It renews the record once, however many nodes repeat
// the removal; otherwise each change would cause the next message.
func TestRecordIsRenewedOnceAfterRemoval(t *testing.T) {
	is := is.New(t)
	n := newUnstartedNode(t)
	n.record.mu.Lock()
	n.record.update(func(h *fleet.Host) {
		h.Upstream = fleet.Upstream{ID: "u", Service: "desk", Slots: 1, Born: 1, State: fleet.StateReady}
	})
	n.record.mu.Unlock()
	removal := fleet.Removal{Node: "a", Incarnation: n.record.incarnation() + 5000, Change: 7}
	n.remove(removal, "peer b")
	first := n.record.current()
	is.True(!removal.Covers(&first))
	n.remove(removal, "peer c")
	is.Equal(n.record.current(), first)

	others := fleet.NewTable()
	is.True(!others.Remove(removal)) // the host was not known; the removal is stored
	is.True(others.Merge(first))
}

// While neither the store nor a peer has sent what is known of the upstream, a delayed
// heartbeat from before it left does not make it ready again; a live upstream is used soon.
func TestHeldUpHeartbeatBringsNobodyBack(t *testing.T) {
	is := is.New(t)
	n := newUnstartedNode(t)
	beat := func(sequence int64) fleet.State {
		b := fleet.Heartbeat{Upstream: fleet.Upstream{ID: "u", Service: "desk", Slots: 1, Born: 1, Sequence: sequence, State: fleet.StateReady}}
		is.NoErr(n.record.Heartbeat(t.Context(), b))
		return n.record.current().Upstream.State
	}
	is.Equal(beat(4), fleet.StateNone)
	is.Equal(beat(4), fleet.StateNone) // a duplicate, after learnTimeout
	time.Sleep(minHeartbeatGap)
	is.Equal(beat(4), fleet.StateNone)
	is.Equal(beat(5), fleet.StateReady)

	n = newUnstartedNode(t)
	n.record.learned.done()
	is.Equal(beat(4), fleet.StateReady)
}
