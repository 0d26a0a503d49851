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

const plainSettings = `{
  "node": {"id": "a", "dataCentre": "dc", "region": "r", "ip": "127.91.250.1", "memoryMB": 128, "cpuShare": 1, "linkMbps": 100},
  "upstream": {"address": "127.91.250.1:9000", "service": "desk"},
  "listen": {"outbound": "127.91.250.1:8081", "ready": "127.91.250.1:8083", "announce": "127.91.250.1:8082", "peerPort": 7100, "metricsPort": 9464},
  "store": {"address": "127.91.250.1:7000"},
  "bounds": {"graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64},
}`

// A record's incarnation may grow while calls are open. The name under which
// other nodes know these calls does not change, or they would run again.
func TestCallsKeepTheirProcess(t *testing.T) {
	is := is.New(t)
	n := newPlainNode(t)
	before, incarnation := n.peers.self().Incarnation(), n.record.incarnation()
	n.record.learnFromPeer(fleet.Host{Node: "a", PeerAddress: "127.91.250.1:7100", Incarnation: incarnation + 10})
	is.True(n.record.incarnation() > incarnation)
	is.Equal(n.peers.self().Incarnation(), before)
	is.True(newPlainNode(t).peers.self().Incarnation() != before)
}

// newPlainNode returns a node that is not started.
func newPlainNode(t *testing.T) *Node {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.jsonc")
	if err := os.WriteFile(path, []byte(plainSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	n, err := New(path, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A node that was frozen first takes in announcements of connections that have
// ended meanwhile. What it asks on these is lost; it asks on the live one within
// two tries.
func TestPullAfterDeadConnections(t *testing.T) {
	is := is.New(t)
	n := newPlainNode(t)
	dead := func(*link.News) bool { return true }
	announcement := &link.News{Lead: "0", ConfigVersion: 5}
	for range 50 {
		n.peers.news("lead", announcement, dead)
	}
	asked := 0
	live := func(news *link.News) bool {
		if news.WantNewer != nil {
			asked++
		}
		return true
	}
	for range 20 {
		n.peers.news("lead", announcement, live)
		time.Sleep(leadInterval / 2)
	}
	is.True(asked >= 2)
}

// A host whose clock stepped back since its entry was taken away is refused by all
// until its record is newer than the removal. One word is enough for that, however
// many nodes say it: otherwise each change would bring the next word.
func TestRemovalOfALaterLifeIsOvertakenOnce(t *testing.T) {
	is := is.New(t)
	n := newPlainNode(t)
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
	is.True(!others.Remove(removal)) // it was not known, and is remembered
	is.True(others.Merge(first))
}

// While neither the store nor a peer has told of the upstream, a heartbeat that was held
// up since before it left does not bring it back; one that lives is used soon.
func TestHeldUpHeartbeatBringsNobodyBack(t *testing.T) {
	is := is.New(t)
	n := newPlainNode(t)
	beat := func(sequence int64) fleet.State {
		b := fleet.Beat{Upstream: fleet.Upstream{ID: "u", Service: "desk", Slots: 1, Born: 1, Sequence: sequence, State: fleet.StateReady}}
		is.NoErr(n.record.Beat(t.Context(), b))
		return n.record.current().Upstream.State
	}
	is.Equal(beat(4), fleet.StateNone)
	is.Equal(beat(4), fleet.StateNone) // a second copy, after what a heartbeat waits for the store
	time.Sleep(beatGap)
	is.Equal(beat(4), fleet.StateNone)
	is.Equal(beat(5), fleet.StateReady)

	n = newPlainNode(t)
	n.record.learned.done()
	is.Equal(beat(4), fleet.StateReady)
}
