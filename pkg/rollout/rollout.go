// Package rollout decides how an accepted version reaches every node: whom a
// node pushes to, when it pulls, and how applied versions are summed up. It is
// pure; package distributor does the I/O.
package rollout

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Laggard is a node that has not applied the accepted version, with the reason.
type Laggard struct {
	Node    model.NodeID  `json:"node" cbor:"1,keyasint"`
	Version model.Version `json:"version" cbor:"2,keyasint"`
	Reason  string        `json:"reason" cbor:"3,keyasint"`
}

// Progress is the roll-out of one data centre, written to the platform in
// CollectionStatuses under the data centre's name.
type Progress struct {
	DataCentre model.DataCentre `json:"dataCentre"`
	Version    model.Version    `json:"version"`
	Members    int              `json:"members"`
	Applied    int              `json:"applied"`
	// Laggards is bounded; Members-Applied tells how many there are.
	Laggards []Laggard `json:"laggards"`
	Time     time.Time `json:"time"`
	Reporter string    `json:"reporter"`
}

// Status is what one node knows about bundles. It answers while the platform
// is down.
type Status struct {
	Acceptance bundle.Acceptance `json:"acceptance"`
	// History holds the newest acceptances, newest first, bounded.
	History []bundle.Acceptance `json:"history"`
	// Confirmed is the last time at which the platform confirmed the version.
	Confirmed time.Time `json:"confirmed"`
	// PlatformUp tells whether the last call to the platform succeeded.
	PlatformUp bool       `json:"platformUp"`
	Progress   []Progress `json:"progress"`
	// Refused is the last bundle that this node refused, with the reason.
	Refused *Refusal `json:"refused,omitempty"`
}

// Refusal is a bundle that a node did not apply.
type Refusal struct {
	Version model.Version `json:"version"`
	Bundle  bundle.ID     `json:"bundle"`
	Reason  string        `json:"reason"`
	Time    time.Time     `json:"time"`
}

// Source is what other services look up under the name "rollout".
type Source interface {
	// Status returns what this node knows.
	Status() Status
	// Applied returns the version in force on this node.
	Applied() model.Version
	// Offer tells the roll-out that a peer has the given version, so that it is
	// pulled if it is newer. It returns at once.
	Offer(from model.NodeID, v model.Version)
}
