// Package membership decides which nodes belong to the mesh, which of them are
// alive, and what upstreams they announce. It is pure: time and random numbers
// come in as arguments, messages go out as values. Package gossip does the I/O.
package membership

import (
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Status is what this node believes of a member.
type Status string

// The statuses of a member. Unreachable marks members of a data centre that
// cannot be reached as a whole: they are kept and used last.
const (
	StatusAlive       Status = "alive"
	StatusSuspect     Status = "suspect"
	StatusFailed      Status = "failed"
	StatusLeft        Status = "left"
	StatusUnreachable Status = "unreachable"
)

// Record is what a node says of itself. Only the node itself changes it; of two
// records the one with the higher (Incarnation, Revision) wins.
type Record struct {
	ID          model.NodeID     `cbor:"1,keyasint" json:"id"`
	DataCentre  model.DataCentre `cbor:"2,keyasint" json:"dataCentre"`
	Region      model.Region     `cbor:"3,keyasint" json:"region"`
	MeshAddr    string           `cbor:"4,keyasint" json:"meshAddr"`
	InboundAddr string           `cbor:"5,keyasint" json:"inboundAddr"`
	// Incarnation grows each time the process starts or refutes a suspicion.
	Incarnation uint64 `cbor:"6,keyasint" json:"incarnation"`
	// Revision grows each time the rest of the record changes.
	Revision uint64 `cbor:"7,keyasint" json:"revision"`
	// Stopping is set while the node itself stops gracefully.
	Stopping  bool             `cbor:"8,keyasint,omitempty" json:"stopping,omitempty"`
	Upstreams []model.Upstream `cbor:"9,keyasint,omitempty" json:"upstreams"`
	// Suspects are fingerprints of calls that were running when an upstream of
	// this node crashed. The list is bounded; package poison decides on it.
	Suspects []Suspect `cbor:"10,keyasint,omitempty" json:"suspects,omitempty"`
	// Unreachable lists the data centres that this node, as a lead of its own,
	// cannot reach.
	Unreachable []model.DataCentre `cbor:"11,keyasint,omitempty" json:"unreachable,omitempty"`
}

// Suspect is the fingerprint of a call that was running when an upstream crashed.
type Suspect struct {
	Fingerprint uint64 `cbor:"1,keyasint" json:"fingerprint"`
	// Crashes is the number of crashes on this node during which it was running.
	Crashes int `cbor:"2,keyasint" json:"crashes"`
	// AtUnix is the time of the last crash in seconds since 1970.
	AtUnix int64 `cbor:"3,keyasint" json:"atUnix"`
	// Alone tells that no other suspect was running at one of the crashes.
	Alone bool `cbor:"4,keyasint,omitempty" json:"alone,omitempty"`
	// Lifted is set by an operator who clears the quarantine.
	Lifted bool `cbor:"5,keyasint,omitempty" json:"lifted,omitempty"`
	// Among is the smallest number of suspects that ran at one of the crashes.
	Among int `cbor:"6,keyasint,omitempty" json:"among,omitempty"`
	// Good is the number of calls that ended well on this node since a crash.
	Good int `cbor:"7,keyasint,omitempty" json:"good,omitempty"`
}

// Member is a record with this node's belief about it.
type Member struct {
	Record
	Status Status `json:"status"`
}

// Peer returns the address of the member's mesh listener.
func (m Member) Peer() mesh.Peer { return mesh.Peer{ID: m.ID, Addr: m.MeshAddr} }

// View is an immutable picture of the whole membership. Index changes with
// every new picture, so that a reader can tell whether it has seen it.
type View struct {
	Index   uint64
	Self    model.NodeID
	Members map[model.NodeID]Member
}

// Source is what other services look up under the name "membership".
type Source interface {
	// View returns the newest picture. It is cheap and never nil.
	View() *View
	// Changed returns a channel that is closed at the next new picture.
	Changed() <-chan struct{}
	// SetUpstreams replaces the upstreams in the local record and tells the peers.
	SetUpstreams(upstreams []model.Upstream)
	// SetSuspects replaces the suspects in the local record and tells the peers.
	SetSuspects(suspects []Suspect)
	// SetStopping announces that this node stops.
	SetStopping()
}
