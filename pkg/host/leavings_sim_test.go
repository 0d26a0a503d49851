package host

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform"
)

var (
	firstSequence = flag.Uint64("sequence", 1, "first seed of TestLeavingsOverLostMessages")
	sequences     = flag.Int("sequences", 80, "number of its seeds")
)

// TestLeavingsOverLostMessages checks that a leaving of which the store or another node knows is
// never forgotten: nodes stop, are killed and start, connections break and lose what is on the
// way, messages of different connections arrive in any order, the store is away, hosts are
// removed, and heartbeats from before the leaving arrive late. A new upstream is used in the end.
func TestLeavingsOverLostMessages(t *testing.T) {
	for i := range *sequences {
		seed := *firstSequence + uint64(i)
		f := newSimFleet(t, seed)
		f.play()
		f.close()
		if t.Failed() {
			for _, line := range f.steps {
				t.Log(line)
			}
			return
		}
	}
}

const (
	simHosts = 4
	simSteps = 60
)

// simFleet is a fleet of nodes that are not started. The test carries their messages.
type simFleet struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	dir    string
	clock  int64
	hosts  []*simHost
	// streams are the messages on the way, in the order of their connection.
	streams map[simStream][]*link.StateUpdate
	cut     map[[2]string]bool
	// roster is nil before the first write, and away is set while the store does not answer.
	roster *platform.Roster
	away   bool
	steps  []string
}

// simStream is one direction of a connection. Replies use the connection of the other node.
type simStream struct {
	from, to string
	isReply  bool
}

// simHost is a host with its node, nil while it is down, and its upstream.
type simHost struct {
	name string
	node *Node
	// sent is the version of the record that was sent last.
	sent fleet.Version
	born int64
	// sequence counts the heartbeats of the upstream.
	sequence int64
	// leaves is set once the upstream has deregistered, and left once that was acknowledged.
	leaves, left bool
}

func newSimFleet(t *testing.T, seed uint64) *simFleet {
	f := &simFleet{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), dir: t.TempDir(), clock: time.Now().UnixMilli(),
		streams: make(map[simStream][]*link.StateUpdate), cut: make(map[[2]string]bool),
	}
	for i := range simHosts {
		f.hosts = append(f.hosts, &simHost{name: fmt.Sprintf("b-%d", i)})
	}
	for _, h := range f.hosts {
		f.start(h, true)
		f.newUpstream(h)
	}
	f.settle()
	return f
}

func (f *simFleet) close() {
	for _, h := range f.hosts {
		f.end(h)
	}
}

func (f *simFleet) note(format string, args ...any) {
	f.steps = append(f.steps, fmt.Sprintf("seed %d: %s", f.seed, fmt.Sprintf(format, args...)))
}

// tick returns a later time in Unix milliseconds.
func (f *simFleet) tick() int64 {
	f.clock += 10
	return f.clock
}

// start starts the node of a host. It reads the roster first if the store answers.
func (f *simFleet) start(h *simHost, reads bool) {
	path := filepath.Join(f.dir, h.name+".jsonc")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(testSettings, `"id": "a"`, fmt.Sprintf(`"id": %q`, h.name))), 0o600); err != nil {
		f.t.Fatal(err)
	}
	n, err := New(path, io.Discard)
	if err != nil {
		f.t.Fatal(err)
	}
	n.started = n.started.Add(-startupPeriod)
	n.record.host.Incarnation = f.tick()
	h.node, h.sent = n, fleet.Version{}
	n.table.Merge(n.record.current())
	if reads && !f.away {
		f.read(h)
	}
	for _, other := range f.hosts {
		f.greet(h, other)
	}
	f.sendRecords()
}

// end ends the node of a host without a word. What it has sent is lost or still arrives.
func (f *simFleet) end(h *simHost) {
	if h.node == nil {
		return
	}
	h.node.peers.monitor.Close()
	h.node.peers.tree.relayTimer.Stop() // it would keep the node in memory
	_ = h.node.output.Close(context.Background())
	h.node = nil
	for s := range f.streams {
		if s.to == h.name || s.from == h.name && f.random.IntN(2) == 0 {
			delete(f.streams, s)
		}
	}
}

// stop ends the node of a host as planned.
func (f *simFleet) stop(h *simHost) {
	h.node.record.announceStopping()
	f.sendRecords()
	if r := h.node.record.current(); r.Upstream.State == fleet.StateGone {
		f.send(h, &link.StateUpdate{Removed: []fleet.Removal{r.Removal(f.tick())}})
	}
	f.end(h)
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send sends a message of a host to all others that it is connected to.
func (f *simFleet) send(h *simHost, n *link.StateUpdate) {
	for _, other := range f.hosts {
		if other != h && other.node != nil && !f.cut[pairOf(h.name, other.name)] {
			s := simStream{from: h.name, to: other.name}
			f.streams[s] = append(f.streams[s], n)
		}
	}
}

// sendRecords sends the records that have changed, as the nodes do.
func (f *simFleet) sendRecords() {
	for _, h := range f.hosts {
		if h.node == nil {
			continue
		}
		r := h.node.record.current()
		if r.Version() != h.sent {
			h.sent = r.Version()
			f.send(h, &link.StateUpdate{Hosts: []fleet.Host{r}})
		}
	}
}

// greet opens the connections between two hosts.
func (f *simFleet) greet(a, b *simHost) {
	if a == b || a.node == nil || b.node == nil || f.cut[pairOf(a.name, b.name)] {
		return
	}
	for _, pair := range [][2]*simHost{{a, b}, {b, a}} {
		s := simStream{from: pair[0].name, to: pair[1].name}
		f.streams[s] = append(f.streams[s], pair[0].node.peers.greeting(pair[1].name))
	}
}

// breakPair ends the connections between two hosts with all that is on the way.
func (f *simFleet) breakPair(a, b *simHost) {
	for s := range f.streams {
		if pairOf(s.from, s.to) == pairOf(a.name, b.name) {
			delete(f.streams, s)
		}
	}
}

func (f *simFleet) host(name string) *simHost {
	return f.hosts[slices.IndexFunc(f.hosts, func(h *simHost) bool { return h.name == name })]
}

// deliver hands over the oldest message of a stream, and reports whether there is one.
func (f *simFleet) deliver() bool {
	ready := make([]simStream, 0, len(f.streams))
	for s := range f.streams {
		ready = append(ready, s)
	}
	if len(ready) == 0 {
		return false
	}
	slices.SortFunc(ready, func(x, y simStream) int { return strings.Compare(fmt.Sprint(x), fmt.Sprint(y)) })
	s := ready[f.random.IntN(len(ready))]
	n := f.streams[s][0]
	if f.streams[s] = f.streams[s][1:]; len(f.streams[s]) == 0 {
		delete(f.streams, s)
	}
	to := f.host(s.to)
	if to.node == nil {
		return true
	}
	to.node.peers.handleNews(s.from, n, func(reply *link.StateUpdate) bool {
		back := simStream{from: s.to, to: s.from, isReply: true}
		if f.host(s.from).node == nil || f.cut[pairOf(s.from, s.to)] {
			return false
		}
		f.streams[back] = append(f.streams[back], reply)
		return true
	})
	f.sendRecords()
	return true
}

// read lets a node read the roster.
func (f *simFleet) read(h *simHost) {
	if f.roster != nil {
		h.node.rosters.mergeRoster(f.roster)
	}
	f.sendRecords()
}

// write lets a node write what it knows to the roster, unless that has changed since the node
// read it. Then the node reads it, as after a conflict.
func (f *simFleet) write(h *simHost) {
	r := h.node.rosters
	if f.roster == nil {
		f.roster = &platform.Roster{DataCentre: "dc", Revision: model.Revision{Epoch: 1, Number: 1}, Hosts: []fleet.Host{h.node.record.current()}}
		f.read(h)
		return
	}
	if len(r.copyStored()) == 0 {
		f.read(h)
	}
	for _, d := range r.drafts() {
		if d.revision != f.roster.Revision {
			f.read(h)
			return
		}
		f.roster = &platform.Roster{
			DataCentre: d.dataCentre, Revision: model.Revision{Epoch: 1, Number: d.revision.Number + 1},
			Hosts: slices.Clone(d.hosts), Departed: slices.Clone(d.departed),
		}
		r.recordStored(f.roster)
	}
}

// beat sends a heartbeat, or a deregistration, of a host's upstream.
func (f *simFleet) beat(h *simHost, born, sequence int64, isRemoved bool) {
	ended, cancel := context.WithCancel(context.Background())
	cancel() // the test decides whether the heartbeat is acknowledged
	_ = h.node.record.Heartbeat(ended, fleet.Heartbeat{Removed: isRemoved, Upstream: fleet.Upstream{
		ID: "u-" + h.name, Born: born, Sequence: sequence, Service: "desk", Slots: 1, State: fleet.StateReady,
	}})
	f.sendRecords()
}

// newUpstream starts an upstream under the id of the former one.
func (f *simFleet) newUpstream(h *simHost) {
	h.born, h.sequence, h.leaves, h.left = f.tick(), 1, false, false
	f.beat(h, h.born, h.sequence, false)
}

// leave deregisters the upstream of a host. That counts as acknowledged once the store or another
// node has it.
func (f *simFleet) leave(h *simHost) {
	f.beat(h, h.born, 0, true)
	h.leaves, h.left = true, f.isKept(h, nil)
	for range simHosts * simHosts {
		if h.left || !f.deliver() {
			break
		}
		h.left = f.isKept(h, nil)
	}
	if !h.left && !f.away {
		f.write(h)
		f.write(h)
		h.left = f.isKept(h, nil)
	}
}

// isKept reports whether the store or a node other than that of the host and of another one
// knows that the upstream of the host has left.
func (f *simFleet) isKept(h, except *simHost) bool {
	for _, other := range f.hosts {
		if other == h || other == except || other.node == nil {
			continue
		}
		if _, knows := other.node.table.Former(fleet.Host{Node: h.name, Upstream: fleet.Upstream{Born: h.born, State: fleet.StateReady}}); knows {
			return true
		}
	}
	if f.roster == nil {
		return false
	}
	isLater := func(u fleet.Upstream) bool {
		return fleet.Supersedes(u, fleet.Upstream{Born: h.born, State: fleet.StateReady})
	}
	return slices.ContainsFunc(f.roster.Hosts, func(r fleet.Host) bool { return r.Node == h.name && isLater(r.Upstream) }) ||
		slices.ContainsFunc(f.roster.Departed, func(r fleet.Removal) bool { return r.Node == h.name && isLater(*r.Upstream) })
}

// mayEnd reports whether all leavings are still known somewhere without the node of a host.
func (f *simFleet) mayEnd(h *simHost) bool {
	return !slices.ContainsFunc(f.hosts, func(other *simHost) bool { return other.left && !f.isKept(other, h) })
}

// remove lets a node remove a host that it cannot reach.
func (f *simFleet) remove(h, lost *simHost) {
	r, ok := h.node.table.Get(lost.name)
	if !ok {
		return
	}
	removal := r.Removal(f.tick())
	h.node.removeAndForward(removal, "unreachable", "")
	f.send(h, &link.StateUpdate{Removed: []fleet.Removal{removal}})
}

// play makes random steps and checks what the nodes know in the end.
func (f *simFleet) play() {
	for range simSteps {
		f.step()
	}
	f.away = false
	clear(f.cut)
	for _, h := range f.hosts {
		if h.node == nil {
			f.note("%s starts", h.name)
			f.start(h, true)
		}
		f.read(h)
	}
	f.settle()
	for _, h := range f.hosts {
		state := func() fleet.Upstream { return h.node.record.current().Upstream }
		if h.left {
			h.sequence += 1000
			f.beat(h, h.born, h.sequence, false)
			if u := state(); u.State == fleet.StateReady {
				f.t.Errorf("seed %d: the node of %s uses the upstream started at %d, which has left", f.seed, h.name, h.born)
			}
		}
		if h.leaves {
			f.newUpstream(h)
		}
		h.sequence++
		f.beat(h, h.born, h.sequence, false)
		if u := state(); u.State != fleet.StateReady || u.Born != h.born {
			f.t.Errorf("seed %d: the upstream of %s started at %d, and its node has %+v", f.seed, h.name, h.born, u)
		}
	}
}

// settle opens all connections again and delivers everything, until nodes and store agree.
func (f *simFleet) settle() {
	for range 3 {
		for i, a := range f.hosts {
			for _, b := range f.hosts[i+1:] {
				f.breakPair(a, b)
				f.greet(a, b)
			}
		}
		for f.deliver() {
		}
		for _, h := range f.hosts {
			if h.node != nil && !f.away {
				f.write(h)
				f.write(h)
			}
		}
	}
}

// step makes one random step.
func (f *simFleet) step() {
	h, other := f.hosts[f.random.IntN(simHosts)], f.hosts[f.random.IntN(simHosts)]
	k := f.random.IntN(100)
	switch {
	case k < 35:
		f.deliver()
	case k < 50 && h.node == nil:
		f.note("%s starts, the store is away: %t", h.name, f.away)
		f.start(h, f.random.IntN(4) > 0)
	case k < 45 && f.mayEnd(h):
		f.note("the node of %s is stopped", h.name)
		f.stop(h)
	case k < 50 && f.mayEnd(h):
		f.note("the node of %s is killed", h.name)
		f.end(h)
	case k < 58 && h != other:
		f.note("connections of %s and %s break", h.name, other.name)
		f.breakPair(h, other)
		f.greet(h, other)
	case k < 62 && h != other:
		pair := pairOf(h.name, other.name)
		f.cut[pair] = !f.cut[pair]
		f.note("%s and %s are cut off from each other: %t", h.name, other.name, f.cut[pair])
		f.breakPair(h, other)
		f.greet(h, other)
	case k < 66:
		f.away = !f.away
		f.note("the store is away: %t", f.away)
	case k < 76 && h.node != nil && !h.left:
		f.leave(h)
		f.note("the upstream of %s leaves, acknowledged: %t", h.name, h.left)
	case k < 80 && h.node != nil && h.left:
		f.note("a late heartbeat of the upstream of %s arrives", h.name)
		f.beat(h, h.born, h.sequence+500, false)
	case k < 83 && h.node != nil && h.leaves:
		f.newUpstream(h)
		f.note("a new upstream starts on %s", h.name)
	case k < 87 && h.node != nil && !f.away:
		f.note("%s reads the roster", h.name)
		f.read(h)
	case k < 95 && h.node != nil && !f.away:
		f.note("%s writes the roster", h.name)
		f.write(h)
	case h.node != nil && other.node == nil && !f.away:
		f.note("%s removes %s", h.name, other.name)
		f.remove(h, other)
	}
}
