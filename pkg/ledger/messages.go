package ledger

import (
	"github.com/tarragondrum/tarragondrum/pkg/order"
)

// pollRequest asks a node of a service for the owners of the service's keys.
// Nodes that host the service also tell that they are alive.
type pollRequest struct {
	Service string `cbor:"1,keyasint"`
	// Owner is set by nodes that host the service.
	Owner order.Owner `cbor:"2,keyasint"`
	// Takes tells that the owner can be given further shards.
	Takes bool `cbor:"3,keyasint,omitempty"`
	// Known is the version of the table that the sender has.
	Known uint64 `cbor:"4,keyasint"`
	// Create asks to record owners if there are none yet.
	Create bool `cbor:"5,keyasint,omitempty"`
	// Takers is the digest of the takers that the sender knows.
	Takers uint64 `cbor:"6,keyasint,omitempty"`
	// Layout is the digest of the layout of the table that the sender has.
	Layout uint64 `cbor:"7,keyasint,omitempty"`
}

// pollReply carries the table if it is newer than the one known.
type pollReply struct {
	Table *order.Table `cbor:"1,keyasint,omitempty"`
	// Takers are the owners that can be given further shards, if the sender knows
	// others.
	Takers []order.Owner `cbor:"2,keyasint,omitempty"`
	// Down tells that the coordinator cannot write to the platform.
	Down bool `cbor:"3,keyasint,omitempty"`
	// Extension takes the place of Table if nothing else has changed in it.
	Extension *order.Extension `cbor:"4,keyasint,omitempty"`
}

// transferRequest hands records over, or tells of a confirmed table, or both.
// Receiving the same request twice does no harm.
type transferRequest struct {
	Service string `cbor:"1,keyasint"`
	// Operation names the hand-over.
	Operation string         `cbor:"2,keyasint"`
	Records   []order.Record `cbor:"3,keyasint"`
	// Floor is the oldest birth that the records cover.
	Floor order.Birth  `cbor:"4,keyasint"`
	Table *order.Table `cbor:"5,keyasint,omitempty"`
}

// transferReply confirms that the records are kept.
type transferReply struct {
	Owner order.Owner `cbor:"1,keyasint"`
}

// recordRequest asks the claimant of an opaque key what became of it.
type recordRequest struct {
	Service  string   `cbor:"1,keyasint"`
	Instance string   `cbor:"2,keyasint"`
	ID       order.ID `cbor:"3,keyasint"`
	Digest   [32]byte `cbor:"4,keyasint"`
}

// recordReply is the decision of the claimant.
type recordReply struct {
	Found    bool           `cbor:"1,keyasint"`
	Decision order.Decision `cbor:"2,keyasint"`
}
