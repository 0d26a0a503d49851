// Package fleet holds a node's view of the fleet: one record for each host and its
// upstream, the choice of the nodes that read the store and relay changes, and the subset
// of upstreams that a node uses. It does no I/O. Records arrive from the store and from
// peers, and the newest record of each host replaces the others.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// State is the lifecycle state of an upstream.
type State string

// The states of an upstream.
const (
	// StateNone: no upstream is known on the host.
	StateNone State = ""
	// StateReady: the upstream accepts requests.
	StateReady State = "ready"
	// StateLeaving: the upstream drains, which means that it completes its requests and
	// accepts no new ones.
	StateLeaving State = "leaving"
	// StateGone: the upstream process has ended.
	StateGone State = "gone"
)

// Upstream is the state that an upstream reported in its last heartbeat.
type Upstream struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// Born is the start time of the upstream process in Unix milliseconds. A restart gives
	// a later one.
	Born int64 `cbor:"2,keyasint" json:"born"`
	// Sequence increases with each heartbeat of one process.
	Sequence int64  `cbor:"3,keyasint" json:"sequence"`
	Service  string `cbor:"4,keyasint" json:"service"`
	Slots    int    `cbor:"5,keyasint" json:"slots"`
	State    State  `cbor:"6,keyasint" json:"state"`
	// WarmAtUnixMs is the time at which the upstream reaches its full speed, in Unix
	// milliseconds.
	WarmAtUnixMs int64 `cbor:"7,keyasint" json:"warmAtUnixMs"`
	// Version is the version of the upstream's software. It is empty in records of nodes that
	// do not know it.
	Version string `cbor:"8,keyasint,omitempty" json:"version,omitempty"`
}

// Host is the record of one host. Only the node on that host writes it.
type Host struct {
	Node       string `cbor:"1,keyasint" json:"node"`
	DataCentre string `cbor:"2,keyasint" json:"dataCentre"`
	// PeerAddress is the address at which the node accepts connections of other nodes.
	PeerAddress string `cbor:"3,keyasint" json:"peerAddress"`
	// Incarnation is the start time of the node process in Unix milliseconds.
	Incarnation int64 `cbor:"4,keyasint" json:"incarnation"`
	// Change counts the changes of the record within one incarnation.
	Change int64 `cbor:"5,keyasint" json:"change"`
	// Stopping is set while the node shuts down gracefully.
	Stopping bool     `cbor:"6,keyasint" json:"stopping"`
	Upstream Upstream `cbor:"7,keyasint" json:"upstream"`
	Region   string   `cbor:"8,keyasint" json:"region"`
	// Size is the capacity of the host, as the function Size returns it. Nodes on larger
	// hosts are preferred for reading the store and for relaying messages between nodes.
	Size int `cbor:"9,keyasint" json:"size"`
}

// Digest returns a hash of the record's version, which is equal for equal records.
func (h *Host) Digest() uint64 {
	d := xxhash.NewWithSeed(uint64(h.Incarnation) ^ uint64(h.Change)<<32)
	_, _ = d.WriteString(h.Node) // a write to the hash never fails
	return d.Sum64()
}

// IsNewer reports whether h is a later version of the record than old.
func (h *Host) IsNewer(old *Host) bool {
	if h.Incarnation != old.Incarnation {
		return h.Incarnation > old.Incarnation
	}
	return h.Change > old.Change
}

// IsLeavingOrGone reports whether the upstream accepts no new requests and will not do so
// again.
func (u *Upstream) IsLeavingOrGone() bool { return u.State == StateLeaving || u.State == StateGone }

// Usable reports whether requests may be sent to the upstream.
func (h *Host) Usable() bool { return !h.Stopping && h.Upstream.State == StateReady }

// Version identifies one version of a host's record.
type Version struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Change      int64  `cbor:"3,keyasint,omitempty"`
}

// Version returns the version of the record.
func (h *Host) Version() Version {
	return Version{Node: h.Node, Incarnation: h.Incarnation, Change: h.Change}
}

// After reports whether v is later than another version of the same host's record.
func (v *Version) After(other Version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Change > other.Change
}

// Table holds the newest record of each host. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	hosts map[string]Host
	// removals holds the newest removal of each deleted host.
	removals removalLog
	// snapshot is the copy that lookups read without a lock. It is nil after a change until
	// the next lookup.
	snapshot atomic.Pointer[snapshot]
	// digest is the XOR of the digests of all records.
	digest uint64
	// generation counts the changes of the table.
	generation atomic.Uint64
}

// snapshot is an immutable copy of the table.
type snapshot struct {
	hosts  []Host            // sorted by node
	usable map[string][]Host // by service
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{hosts: make(map[string]Host), removals: newRemovalLog()}
}

// Merge adds a record to the table and reports whether it changed the table. Records that
// are invalid, deleted or not newer than the known one are ignored, except that the upstream
// leaves or is gone: messages of several nodes arrive in any order, and the node on the host
// may have restarted without knowing that.
func (t *Table) Merge(h Host) bool {
	if h.Validate() != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.removals.get(h.Node); ok && r.Covers(&h) {
		return false
	}
	old, ok := t.hosts[h.Node]
	if ok && !h.IsNewer(&old) {
		return t.learnLeaving(&old, &h.Upstream)
	}
	if former, knowsMore := t.former(&h); knowsMore {
		// A node that has just restarted may not know a state of the upstream that it
		// received before the restart.
		h.Upstream = former.Upstream
	}
	t.removals.delete(h.Node)
	if ok {
		t.digest ^= old.Digest()
	}
	t.digest ^= h.Digest()
	t.hosts[h.Node] = h
	t.invalidate()
	return true
}

// learnLeaving records that the upstream of a known host leaves or is gone, if that is later
// than what its record says, and reports whether it is. The version of the record stays the
// same: only the node on the host changes that. The caller must hold mu.
func (t *Table) learnLeaving(known *Host, u *Upstream) bool {
	if !u.IsLeavingOrGone() || !Supersedes(*u, known.Upstream) {
		return false
	}
	h := *known
	h.Upstream = *u
	t.hosts[h.Node] = h
	t.invalidate()
	return true
}

// invalidate discards the snapshot and counts the change. The caller must hold mu.
func (t *Table) invalidate() {
	t.snapshot.Store(nil)
	t.generation.Add(1)
}

// Digest returns a hash that is equal for tables with equal records.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Generation returns a number that increases with every change of the table.
func (t *Table) Generation() uint64 { return t.generation.Load() }

// Remove deletes a host, unless the table has a newer version of its record than the
// removal covers, and reports whether it deleted a record. It keeps what the removal says of
// the upstream in either case.
func (t *Table) Remove(r Removal) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.hosts[r.Node]
	if ok && !r.Covers(&old) {
		if r.Upstream != nil {
			t.learnLeaving(&old, r.Upstream)
		}
		return false
	}
	if ok {
		r = r.merge(old.Removal(r.AtUnixMs))
		t.digest ^= old.Digest()
		delete(t.hosts, r.Node)
	}
	if t.removals.add(r) || ok {
		t.invalidate()
	}
	return ok
}

// LacksLeaving reports whether a removal says of an upstream that it leaves or is gone, and
// the table does not know that.
func (t *Table) LacksLeaving(r Removal) bool {
	if r.Upstream == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.hosts[r.Node]; ok {
		return Supersedes(*r.Upstream, known.Upstream)
	}
	known, ok := t.removals.get(r.Node)
	return !ok || known.Upstream == nil || Supersedes(*r.Upstream, *known.Upstream)
}

// Removed returns the removal that covers a record, if there is one.
func (t *Table) Removed(h Host) (Removal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.removals.get(h.Node)
	return r, ok && r.Covers(&h)
}

// Departures returns the newest removals of hosts of a data centre whose upstreams were
// leaving or gone, sorted by time and node.
func (t *Table) Departures(dataCentre string) []Removal {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.removals.departures(dataCentre)
}

// RemovedSince returns the removals of hosts with a known address since a time in Unix
// milliseconds, the newest first.
func (t *Table) RemovedSince(unixMs int64) []Removal {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.removals.since(unixMs)
}

// AllDepartures returns the departures of all data centres.
func (t *Table) AllDepartures() []Removal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Removal
	for _, centre := range t.removals.dataCentres() {
		all = append(all, t.removals.departures(centre)...)
	}
	return all
}

// Former returns what is known of a host from before a record of it, if that has a later
// state of the upstream than the record. The record then comes from a node that has just
// restarted and does not know what its former process had received.
func (t *Table) Former(h Host) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.former(&h)
}

// former is Former for a caller that holds mu.
func (t *Table) former(h *Host) (Host, bool) {
	if old, ok := t.hosts[h.Node]; ok {
		return old, Supersedes(old.Upstream, h.Upstream)
	}
	r, ok := t.removals.get(h.Node)
	if !ok || r.Upstream == nil || !Supersedes(*r.Upstream, h.Upstream) {
		return Host{}, false
	}
	return r.Record(*h), true
}

// Get returns the record of a host.
func (t *Table) Get(node string) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[node]
	return h, ok
}

// All returns all records, sorted by node. Callers must not modify the slice.
func (t *Table) All() []Host { return t.current().hosts }

// Len returns the number of hosts.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hosts)
}

// Usable returns the hosts whose upstreams offer a service and may get requests. Callers
// must not modify the slice.
func (t *Table) Usable(service string) []Host { return t.current().usable[service] }

// current returns the snapshot of the table and builds it if a change discarded it.
func (t *Table) current() *snapshot {
	if s := t.snapshot.Load(); s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &snapshot{hosts: make([]Host, 0, len(t.hosts)), usable: make(map[string][]Host)}
	for _, h := range t.hosts {
		s.hosts = append(s.hosts, h)
	}
	slices.SortFunc(s.hosts, func(x, y Host) int { return cmp.Compare(x.Node, y.Node) })
	for i := range s.hosts {
		if h := &s.hosts[i]; h.Usable() {
			s.usable[h.Upstream.Service] = append(s.usable[h.Upstream.Service], *h)
		}
	}
	t.snapshot.Store(s)
	return s
}
