package fleet

import (
	"cmp"
	"container/list"
	"fmt"
	"maps"
	"slices"
)

// Removal records the deletion of a host. It applies to all versions of the host's record
// up to and including the one that it names.
type Removal struct {
	Node        string `cbor:"1,keyasint" json:"node"`
	Incarnation int64  `cbor:"2,keyasint" json:"incarnation"`
	Change      int64  `cbor:"3,keyasint,omitempty" json:"change"`
	// DataCentre and PeerAddress are those of the deleted record, or empty if they are not
	// known. The node may start again on that host.
	DataCentre string `cbor:"4,keyasint,omitempty" json:"dataCentre,omitempty"`
	// Upstream is that of the deleted record if it was leaving or gone. The node may start
	// again beside the same upstream.
	Upstream *Upstream `cbor:"5,keyasint,omitempty" json:"upstream,omitempty"`
	// AtUnixMs is when the host was removed, in Unix milliseconds, or 0 if that is not known.
	AtUnixMs    int64  `cbor:"6,keyasint,omitempty" json:"atUnixMs,omitempty"`
	PeerAddress string `cbor:"7,keyasint,omitempty" json:"peerAddress,omitempty"`
}

// Removal returns the removal of a version of a host's record about which nothing else is
// known.
func (v Version) Removal() Removal {
	return Removal{Node: v.Node, Incarnation: v.Incarnation, Change: v.Change}
}

// Removal returns the removal of the record at a time in Unix milliseconds.
func (h *Host) Removal(atUnixMs int64) Removal {
	r := h.Version().Removal()
	r.DataCentre, r.PeerAddress, r.AtUnixMs = h.DataCentre, h.PeerAddress, atUnixMs
	if h.Upstream.IsLeavingOrGone() {
		upstream := h.Upstream
		r.Upstream = &upstream
	}
	return r
}

// Covers reports whether the removal applies to the version of a record.
func (r *Removal) Covers(h *Host) bool {
	return h.Incarnation < r.Incarnation || h.Incarnation == r.Incarnation && h.Change <= r.Change
}

// version returns the newest version of the record that the removal applies to.
func (r *Removal) version() Version {
	return Version{Node: r.Node, Incarnation: r.Incarnation, Change: r.Change}
}

// merge returns the removal that applies to all records that r or other, a removal of the
// same host, apply to, with the latest known state of the upstream.
func (r Removal) merge(other Removal) Removal {
	v := other.version()
	isLater := v.After(r.version())
	if isLater {
		r.Incarnation, r.Change = other.Incarnation, other.Change
	}
	if other.PeerAddress != "" && (isLater || r.PeerAddress == "") {
		r.DataCentre, r.PeerAddress = other.DataCentre, other.PeerAddress
	}
	if other.Upstream != nil && (r.Upstream == nil || Supersedes(*other.Upstream, *r.Upstream)) {
		r.DataCentre, r.Upstream = other.DataCentre, other.Upstream
	}
	r.AtUnixMs = max(r.AtUnixMs, other.AtUnixMs)
	return r
}

// Record returns the removed record of a removal with an upstream. Fields that the removal
// lacks are those of a later record of the host.
func (r *Removal) Record(later Host) Host {
	later.Incarnation, later.Change, later.Upstream = r.Incarnation, r.Change, *r.Upstream
	return later
}

// SameDeparture reports whether two removals with an upstream apply to the same records and
// the same state of the upstream.
func (r Removal) SameDeparture(other Removal) bool {
	return r.version() == other.version() && !Supersedes(*r.Upstream, *other.Upstream) && !Supersedes(*other.Upstream, *r.Upstream)
}

// Validate returns an error unless a node can have written the removal.
func (r *Removal) Validate() error {
	switch {
	case !IsValidName(r.Node):
		return fmt.Errorf("removal of host %.40q: %w", r.Node, ErrInvalidRecord)
	case r.Incarnation < 0 || r.Incarnation > maxUnixMs || r.Change < 0 || r.Change > maxCount || r.AtUnixMs < 0 || r.AtUnixMs > maxUnixMs:
		return fmt.Errorf("removal of host %q has incarnation %d, change %d, time %d: %w", r.Node, r.Incarnation, r.Change, r.AtUnixMs, ErrInvalidRecord)
	case r.PeerAddress != "" && !isPeerAddress(r.PeerAddress):
		return fmt.Errorf("removal of host %q has the peer address %.40q, want IP:port: %w", r.Node, r.PeerAddress, ErrInvalidRecord)
	case r.Upstream == nil:
		return nil
	case !r.Upstream.IsLeavingOrGone() || r.DataCentre == "":
		return fmt.Errorf("removal of host %q has data centre %.40q and an upstream in state %.40q: %w", r.Node, r.DataCentre, r.Upstream.State, ErrInvalidRecord)
	}
	if err := r.Upstream.Validate(); err != nil {
		return fmt.Errorf("removal of host %q: %w", r.Node, err)
	}
	return nil
}

const (
	// maxRemovals is the maximum number of removals that a table keeps. It is far above the
	// number of removals in the time during which a node that missed one may still send the
	// deleted record.
	maxRemovals = 4096
	// maxDepartures is the maximum number of removals of one data centre that the store keeps,
	// so that a roster stays small where every change of an upstream brings a new host.
	maxDepartures = 64
)

// removalLog holds the newest removal of each of maxRemovals hosts. The host whose removal was
// added first is dropped first.
type removalLog struct {
	byNode map[string]*list.Element
	order  *list.List // of Removal
}

func newRemovalLog() removalLog {
	return removalLog{byNode: make(map[string]*list.Element), order: list.New()}
}

// get returns the removal of a host.
func (l *removalLog) get(node string) (Removal, bool) {
	e, ok := l.byNode[node]
	if !ok {
		return Removal{}, false
	}
	return e.Value.(Removal), true
}

// add adds a removal and reports whether that changed the log.
func (l *removalLog) add(r Removal) bool {
	if e, ok := l.byNode[r.Node]; ok {
		known := e.Value.(Removal)
		merged := known.merge(r)
		e.Value = merged
		return merged != known
	}
	l.byNode[r.Node] = l.order.PushBack(r)
	if l.order.Len() > maxRemovals {
		delete(l.byNode, l.order.Remove(l.order.Front()).(Removal).Node)
	}
	return true
}

// delete removes the entry of a host.
func (l *removalLog) delete(node string) {
	if e, ok := l.byNode[node]; ok {
		l.order.Remove(e)
		delete(l.byNode, node)
	}
}

// since returns the removals with an address since a time in Unix milliseconds, the newest
// first.
func (l *removalLog) since(unixMs int64) []Removal {
	var found []Removal
	for e := l.order.Front(); e != nil; e = e.Next() {
		if r := e.Value.(Removal); r.PeerAddress != "" && r.AtUnixMs >= unixMs {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y Removal) int {
		return cmp.Or(cmp.Compare(y.AtUnixMs, x.AtUnixMs), cmp.Compare(x.Node, y.Node))
	})
	return found
}

// dataCentres returns the data centres of the hosts whose upstreams were leaving or gone.
func (l *removalLog) dataCentres() []string {
	found := make(map[string]bool)
	for e := l.order.Front(); e != nil; e = e.Next() {
		if r := e.Value.(Removal); r.Upstream != nil {
			found[r.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// departures returns the newest maxDepartures removals of hosts of a data centre whose
// upstreams were leaving or gone. Two logs with the same removals return the same list,
// whatever their order.
func (l *removalLog) departures(dataCentre string) []Removal {
	var found []Removal
	for e := l.order.Front(); e != nil; e = e.Next() {
		if r := e.Value.(Removal); r.Upstream != nil && r.DataCentre == dataCentre {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y Removal) int {
		return cmp.Or(cmp.Compare(x.AtUnixMs, y.AtUnixMs), cmp.Compare(x.Node, y.Node))
	})
	return found[max(0, len(found)-maxDepartures):]
}
