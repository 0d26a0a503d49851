// Package release decides on roll-outs of service versions: which upstreams get requests of
// which version, whether a new version is good, and what is written to the store. It is named
// so because pkg/bench/rollout and the command "bundle roll" are about configurations. It has
// no clock, random source, input or output: times, reports and random numbers are arguments.
//
// It is meant for services of 10 to 100 upstreams that get 500 to 5,000 requests a second
// through about 140 nodes, with orders that last 12 to 16 s. TestRollouts replays that load.
package release

import (
	"cmp"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Phase is the phase of a roll-out.
type Phase string

// The phases of a roll-out.
const (
	// Canary: a small share of the requests goes to a few upstreams of the new version.
	Canary Phase = "canary"
	// Moving: the requests move to the new version.
	Moving Phase = "moving"
	// Succeeded: the service runs the new version.
	Succeeded Phase = "succeeded"
	// RolledBack: the new version gets no requests.
	RolledBack Phase = "rolled_back"
)

// rank orders the phases in which a roll-out is active and its two ends. The end that the
// store has stands above one that a coordinator only decided on, and Succeeded is announced
// only when the store has it.
func (p Phase) rank() int {
	switch p {
	case Canary, Moving:
		return 1
	case RolledBack:
		return 2
	case Succeeded:
		return 3
	}
	return 0
}

// IsFinal reports whether the roll-out has ended.
func (p Phase) IsFinal() bool { return p == Succeeded || p == RolledBack }

const (
	// canaryPart is the part of the allowed share of requests that each node sends to the new
	// version in the canary phase, counted from the order. It leaves the rest for the first part
	// of Moving.
	canaryPart = 0.6
	// silencePart is the part of the time in which a bad version must get no more requests that
	// a node uses the new version without news from the coordinator. The rest is for the decision
	// and its way through the mesh.
	silencePart = 0.6
)

// CanaryShare returns the share of its requests that each node sends to the new version in the
// canary phase, where exposeShare is the share that all nodes together may send.
func CanaryShare(exposeShare float64) float64 { return canaryPart * exposeShare }

// MaxSilence returns how long a node uses the new version without news from the coordinator,
// where a bad version must get no requests after rollback.
func MaxSilence(rollback time.Duration) time.Duration {
	return time.Duration(silencePart * float64(rollback))
}

// State is what the coordinator of a roll-out tells all nodes.
type State struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	// Order is the store's revision at which a node first read the order. It identifies the
	// order. Revision is the newest known revision of the object.
	Order    model.Revision `cbor:"3,keyasint"`
	Revision model.Revision `cbor:"4,keyasint"`
	// DurationMs is the time that the order gives, and AgeMs the time since the order was read,
	// when this state was sent.
	DurationMs int64 `cbor:"5,keyasint"`
	AgeMs      int64 `cbor:"6,keyasint"`
	Phase      Phase `cbor:"7,keyasint"`
	// Share is the share of its requests that each node sends to the new version.
	Share float64 `cbor:"8,keyasint,omitempty"`
	// Canaries are the hosts of the upstreams that get requests in the canary phase.
	Canaries []string `cbor:"9,keyasint,omitempty"`
	// Established is the version that the service ran before, empty if it is not known.
	Established string `cbor:"10,keyasint,omitempty"`
	// Term and Coordinator say who decides. A node that takes over uses a higher term.
	Term        uint64 `cbor:"11,keyasint,omitempty"`
	Coordinator string `cbor:"12,keyasint,omitempty"`
	// Sequence increases with every message of one term.
	Sequence uint64 `cbor:"13,keyasint,omitempty"`
	// Reason says why the roll-out ended.
	Reason string `cbor:"14,keyasint,omitempty"`
	// DelayMs is how long ago the coordinator sent this state, where another node sends it on.
	DelayMs int64 `cbor:"15,keyasint,omitempty"`
}

// compareOrders compares two orders of one service.
func compareOrders(a, b model.Revision) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Number, b.Number))
}

// compareBallots compares the right of two coordinators of one order to decide.
func compareBallots(a, b *State) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Coordinator, b.Coordinator))
}

// Corrects reports whether a node that knows a should tell it to one that sends b: b is about an
// earlier order, or of a coordinator that another has replaced, or of a roll-out that has ended.
func Corrects(a, b *State) bool {
	c := cmp.Or(compareOrders(a.Order, b.Order), cmp.Compare(a.Phase.rank(), b.Phase.rank()))
	if c == 0 && !a.Phase.IsFinal() {
		c = compareBallots(a, b)
	}
	return c > 0
}

// Supersedes reports whether a replaces b at a node that knows b. A roll-out that has ended
// never becomes active again.
func Supersedes(a, b *State) bool {
	return Corrects(a, b) || !Corrects(b, a) && !a.Phase.IsFinal() && a.Sequence > b.Sequence
}

// View is what a node knows of the roll-out of one service. It is not safe for concurrent use.
type View struct {
	maxSilence time.Duration
	state      State
	known      bool
	// start is the earliest time at which the order can have been read, by this node's clock,
	// and heard the time at which the coordinator sent the newest state. They are computed from
	// the ages in the messages, so that a message that was long on its way does not count as
	// recent.
	start, heard time.Time
}

// NewView returns a view without a state. maxSilence is as MaxSilence returns it.
func NewView(maxSilence time.Duration) View { return View{maxSilence: maxSilence} }

// State returns the newest state, and false if there is none.
func (v *View) State() (State, bool) { return v.state, v.known }

// Start returns when the order was read, by this node's clock.
func (v *View) Start() time.Time { return v.start }

// Merge takes a state over if it is newer, and reports whether it is.
func (v *View) Merge(now time.Time, s State) bool {
	if v.known && !Supersedes(&s, &v.state) {
		return false
	}
	age := time.Duration(s.AgeMs) * time.Millisecond
	start := now.Add(-age - time.Duration(s.DelayMs)*time.Millisecond)
	if !v.known || compareOrders(s.Order, v.state.Order) != 0 || start.Before(v.start) {
		v.start = start
		if !v.known || compareOrders(s.Order, v.state.Order) != 0 {
			v.heard = time.Time{}
		}
	}
	if sent := v.start.Add(age); sent.After(v.heard) {
		v.heard = sent
	}
	v.state, v.known = s, true
	return true
}

// Heard returns when the coordinator sent the newest known state.
func (v *View) Heard() time.Time { return v.heard }

// Message returns the state as this node sends it on at now.
func (v *View) Message(now time.Time) State {
	s := v.state
	s.DelayMs = max(0, now.Sub(v.heard).Milliseconds())
	return s
}

// IsSilent reports whether the roll-out is active and nothing has been heard of its coordinator
// for so long that this node does not use the new version.
func (v *View) IsSilent(now time.Time) bool {
	return v.known && !v.state.Phase.IsFinal() && now.Sub(v.heard) > v.maxSilence
}

// Allowance says which versions of a service may get requests.
type Allowance struct {
	// Stable is the version that the service runs. It may be empty if there is none.
	Stable string
	// Target is the new version, empty if it may not get any requests. Share is the share of
	// requests that go to it, or will as soon as one of its upstreams is chosen.
	Target string
	Share  float64
	// Canaries limits Target to the upstreams of these hosts, unless it is nil.
	Canaries []string
	// Forbidden is a version that may not get requests even if no other upstream remains.
	Forbidden string
}

// Allow returns which versions may get requests now, where the service runs the version stable.
func (v *View) Allow(now time.Time, stable string) Allowance {
	a := Allowance{Stable: stable}
	if !v.known || v.state.Phase == Succeeded {
		return a
	}
	if v.state.Target == stable {
		return a // an order for the version that already runs
	}
	a.Forbidden = v.state.Target
	if v.state.Phase == RolledBack {
		return a
	}
	if now.Sub(v.heard) > v.maxSilence {
		if v.state.Phase == Moving && v.state.Share == 1 {
			// The old upstreams may be gone, since the roll-out may have succeeded.
			a.Forbidden = ""
		}
		return a
	}
	a.Share = v.state.Share
	if v.state.Phase == Canary {
		a.Canaries = v.state.Canaries
		if len(a.Canaries) == 0 {
			return a
		}
	}
	a.Target = v.state.Target
	return a
}

// Group describes the upstreams of one version of a service.
type Group struct {
	Version string
	// Count is the number of upstreams, and OldestBorn the earliest start time of one.
	Count      int
	OldestBorn int64
}

// Established remembers which version a service runs. The zero value knows nothing.
type Established struct {
	version string
	// order is the succeeded roll-out from which the version was taken.
	order model.Revision
}

// Version returns the version that the service runs, given the versions of its upstreams. A
// version stays established while it has upstreams, unless the node has just started and does
// not know all hosts: then it is the version of the most upstreams. An empty version is that
// of an upstream whose node does not know versions yet. Such upstreams belong to the
// established version.
func (e *Established) Version(v *View, groups []Group, isStarting bool) string {
	forbidden := ""
	if _, known := v.State(); !known && isStarting {
		e.version = ""
	}
	if s, known := v.State(); known {
		switch {
		case s.Phase == Succeeded && compareOrders(s.Order, e.order) != 0:
			e.version, e.order = s.Target, s.Order
		case s.Phase != Succeeded && s.Established != "" && s.Established != e.version:
			e.version = s.Established
		case s.Phase != Succeeded && e.version == s.Target && s.Established == "" && hasOther(groups, s.Target):
			e.version = "" // this node started during the roll-out and took the majority
		}
		if s.Phase != Succeeded && s.Target != s.Established {
			forbidden = s.Target
		}
	}
	best := Group{Version: e.version}
	for _, g := range groups {
		switch {
		case g.Version == "":
			continue
		case g.Version == e.version:
			return e.version
		case g.Version == forbidden:
			continue
		case best.Count == 0 || g.Count > best.Count || g.Count == best.Count && g.OldestBorn < best.OldestBorn:
			best = g
		}
	}
	if forbidden == "" || best.Count > 0 {
		e.version = best.Version
	}
	return e.version
}

// hasOther reports whether there are upstreams of another version.
func hasOther(groups []Group, version string) bool {
	for _, g := range groups {
		if g.Version != version && g.Version != "" {
			return true
		}
	}
	return false
}
