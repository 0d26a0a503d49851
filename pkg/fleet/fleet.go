// Package fleet keeps what a node knows of all hosts and of the upstreams beside
// them. It is pure: records come in from the store and from peers, and the
// newest one of each host wins.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an upstream.
type State string

// The states of an upstream.
const (
	// StateNone: no upstream is known on the host.
	StateNone State = ""
	// StateReady: the upstream takes requests.
	StateReady State = "ready"
	// StateLeaving: the upstream finishes what it has and takes nothing new.
	StateLeaving State = "leaving"
	// StateGone: the upstream ended.
	StateGone State = "gone"
)

// Upstream is what an upstream last announcedAt of itself.
type Upstream struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// Born is the Unix millisecond of the upstream's start.
	Born int64 `cbor:"2,keyasint" json:"born"`
	// Sequence grows with each heartbeat of one life.
	Sequence int64  `cbor:"3,keyasint" json:"sequence"`
	Service  string `cbor:"4,keyasint" json:"service"`
	Slots    int    `cbor:"5,keyasint" json:"slots"`
	State    State  `cbor:"6,keyasint" json:"state"`
	// WarmAtUnixMs is when the upstream runs at its full speed.
	WarmAtUnixMs int64 `cbor:"7,keyasint" json:"warmAtUnixMs"`
}

// Host is the record of one host. Only its own node writes it.
type Host struct {
	Node       string `cbor:"1,keyasint" json:"node"`
	DataCentre string `cbor:"2,keyasint" json:"dataCentre"`
	// PeerAddress takes the connections of other nodes.
	PeerAddress string `cbor:"3,keyasint" json:"peerAddress"`
	// Incarnation is the Unix millisecond of the node's start.
	Incarnation int64 `cbor:"4,keyasint" json:"incarnation"`
	// Change counts the changes of the record in one incarnation.
	Change int64 `cbor:"5,keyasint" json:"change"`
	// Stopping is set while the node stops gracefully.
	Stopping bool     `cbor:"6,keyasint" json:"stopping"`
	Upstream Upstream `cbor:"7,keyasint" json:"upstream"`
	Region   string   `cbor:"8,keyasint" json:"region"`
	// Size orders hosts by their machines: larger ones carry more of what nodes tell
	// each other.
	Size int `cbor:"9,keyasint" json:"size"`
}

// Digest is equal for equal records.
func (h *Host) Digest() uint64 {
	d := xxhash.NewWithSeed(uint64(h.Incarnation) ^ uint64(h.Change)<<32)
	_, _ = d.WriteString(h.Node) // it never fails
	return d.Sum64()
}

// IsNewer reports whether h replaces old.
func (h *Host) IsNewer(old *Host) bool {
	if h.Incarnation != old.Incarnation {
		return h.Incarnation > old.Incarnation
	}
	return h.Change > old.Change
}

// Usable reports whether requests may be sent to the upstream.
func (h *Host) Usable() bool { return !h.Stopping && h.Upstream.State == StateReady }

// Version names a state of a host's record.
type Version struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Change      int64  `cbor:"3,keyasint,omitempty"`
}

// Version returns that of the record.
func (h *Host) Version() Version {
	return Version{Node: h.Node, Incarnation: h.Incarnation, Change: h.Change}
}

// After reports whether v is a later version than another one of the same host.
func (v *Version) After(other Version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Change > other.Change
}

// Removal says that a host was taken away, up to a change of its record.
type Removal struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Change      int64  `cbor:"3,keyasint,omitempty"`
}

// Covers reports whether a record is one that was taken away.
func (r *Removal) Covers(h *Host) bool {
	return h.Incarnation < r.Incarnation || h.Incarnation == r.Incarnation && h.Change <= r.Change
}

// maxRemovals bounds the removals that a table remembers, far above those of the
// time in which a node that missed one may tell the old record.
const maxRemovals = 4096

// Table holds the newest record of each host. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	hosts map[string]Host
	// removals are the newest ones of hosts that were taken away.
	removals map[string]Removal
	// view is what requests read, nil after a change.
	view atomic.Pointer[view]
	// digest is that of all records.
	digest uint64
	// generation counts the changes.
	generation atomic.Uint64
}

// view is the table at one time. It never changes.
type view struct {
	hosts  []Host            // sorted by node
	usable map[string][]Host // by service
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{hosts: make(map[string]Host), removals: make(map[string]Removal)}
}

// Merge takes in a record and reports whether it changed the table.
func (t *Table) Merge(h Host) bool {
	if h.Node == "" || h.PeerAddress == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.removals[h.Node]; ok {
		if r.Covers(&h) {
			return false
		}
		delete(t.removals, h.Node)
	}
	old, ok := t.hosts[h.Node]
	if ok && !h.IsNewer(&old) {
		return false
	}
	if ok && Supersedes(old.Upstream, h.Upstream) {
		// A process that has just started does not know what the former one heard.
		h.Upstream = old.Upstream
	}
	if ok {
		t.digest ^= old.Digest()
	}
	t.digest ^= h.Digest()
	t.hosts[h.Node] = h
	t.changed()
	return true
}

// changed notes a change. The caller holds mu.
func (t *Table) changed() {
	t.view.Store(nil)
	t.generation.Add(1)
}

// Digest is equal for tables with equal records.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Generation grows with every change.
func (t *Table) Generation() uint64 { return t.generation.Load() }

// Remove forgets a host, unless a newer record than the removal's has come in, and
// reports whether it did.
func (t *Table) Remove(r Removal) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.hosts[r.Node]
	if ok && !r.Covers(&old) {
		return false
	}
	if len(t.removals) < maxRemovals {
		t.removals[r.Node] = r
	}
	if ok {
		t.digest ^= old.Digest()
	}
	delete(t.hosts, r.Node)
	t.changed()
	return ok
}

// Removed returns the removal that took a record away, if there is one.
func (t *Table) Removed(h Host) (Removal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.removals[h.Node]
	return r, ok && r.Covers(&h)
}

// Get returns the record of a host.
func (t *Table) Get(node string) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[node]
	return h, ok
}

// All returns every record, sorted by node. The list must not be changed.
func (t *Table) All() []Host { return t.current().hosts }

// Len returns the number of hosts.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hosts)
}

// Usable returns the hosts of a service to which requests may be sent. The list
// must not be changed.
func (t *Table) Usable(service string) []Host { return t.current().usable[service] }

// current returns the view of the table as it is.
func (t *Table) current() *view {
	if v := t.view.Load(); v != nil {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := &view{hosts: make([]Host, 0, len(t.hosts)), usable: make(map[string][]Host)}
	for _, h := range t.hosts {
		v.hosts = append(v.hosts, h)
	}
	slices.SortFunc(v.hosts, func(x, y Host) int { return cmp.Compare(x.Node, y.Node) })
	for i := range v.hosts {
		if h := &v.hosts[i]; h.Usable() {
			v.usable[h.Upstream.Service] = append(v.usable[h.Upstream.Service], *h)
		}
	}
	t.view.Store(v)
	return v
}
