package membership

import (
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Bounds of the lists in one message. A longer one is refused whole.
const (
	// MaxEntries bounds the records of one message.
	MaxEntries = 512
	// maxSummaries bounds the summaries of one message.
	maxSummaries = 1024
	// maxCentres bounds the data centres of a mesh.
	maxCentres = 64
	// MaxJoinPeers bounds the peers of a join reply.
	MaxJoinPeers = 16
)

// State is what a node says of itself in every probe and answer.
type State struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Digest is that of the sender's table.
	Digest uint64 `cbor:"2,keyasint"`
	// Applied is the bundle version in force on the sender.
	Applied model.Version `cbor:"3,keyasint"`
}

// Ping asks a node for an Ack with the same sequence number.
type Ping struct {
	Sequence uint64 `cbor:"1,keyasint"`
	State    State  `cbor:"2,keyasint"`
	// Suspected is the incarnation of the receiver that the sender suspects, or
	// zero. The receiver refutes it.
	Suspected uint64 `cbor:"3,keyasint,omitempty"`
	// Gossip holds recent entries; only the gossip dissemination uses it.
	Gossip []Entry `cbor:"4,keyasint,omitempty"`
}

// Ack answers a Ping, perhaps through the helper of an indirect one.
type Ack struct {
	Sequence uint64  `cbor:"1,keyasint"`
	State    State   `cbor:"2,keyasint"`
	Gossip   []Entry `cbor:"3,keyasint,omitempty"`
}

// IndirectPing asks a helper to ping the target and to pass on its answer.
type IndirectPing struct {
	Sequence uint64       `cbor:"1,keyasint"`
	TargetID model.NodeID `cbor:"2,keyasint"`
	Addr     string       `cbor:"3,keyasint"`
}

// JoinRequest asks to be admitted.
type JoinRequest struct {
	Record Record `cbor:"1,keyasint"`
}

// JoinReply admits the joiner, or tells it when to ask again. In both cases
// the peers are others to go to.
type JoinReply struct {
	RetryAfterMillis uint32      `cbor:"1,keyasint,omitempty"`
	Self             Entry       `cbor:"2,keyasint"`
	Peers            []mesh.Peer `cbor:"3,keyasint,omitempty"`
	// Suspects are those that the joiner's former process told, which a process
	// that starts again has forgotten.
	Suspects []Suspect `cbor:"4,keyasint,omitempty"`
}

// Stage tells how far an update has travelled.
type Stage uint8

// The stages of an update.
const (
	// StageSubmit: from its origin to a lead.
	StageSubmit Stage = 1
	// StageGateway: from a lead to a lead of another data centre.
	StageGateway Stage = 2
	// StageTree: down the tree of a data centre.
	StageTree Stage = 3
)

// Update carries entries to every node.
type Update struct {
	Stage Stage `cbor:"1,keyasint"`
	// Root is the root of the tree in StageTree.
	Root model.NodeID `cbor:"2,keyasint,omitempty"`
	// Sequence numbers the updates of a root, so that none is passed on twice.
	Sequence uint64  `cbor:"3,keyasint,omitempty"`
	Entries  []Entry `cbor:"4,keyasint"`
}

// Decode decodes a message of this package and checks its bounds. Every error
// is mesh.ErrMalformed or ErrInvalid.
func Decode[T any, P interface {
	*T
	Validate() error
}](body []byte) (T, error) {
	var m T
	if err := codec.Unmarshal(body, &m); err != nil {
		return m, err
	}
	if err := P(&m).Validate(); err != nil {
		var zero T
		return zero, fmt.Errorf("%w: %w", mesh.ErrMalformed, err)
	}
	return m, nil
}

// Validate checks the bounds of the message.
func (p *Ping) Validate() error { return validateEntries(p.Gossip) }

// Validate checks the bounds of the message.
func (a *Ack) Validate() error { return validateEntries(a.Gossip) }

// Validate checks the bounds of the message.
func (p *IndirectPing) Validate() error {
	return validatePeer(mesh.Peer{ID: p.TargetID, Addr: p.Addr})
}

// Validate checks the bounds of the message.
func (r *JoinRequest) Validate() error { return r.Record.Validate() }

// Validate checks the bounds of the message.
func (r *JoinReply) Validate() error {
	if len(r.Peers) > MaxJoinPeers {
		return fmt.Errorf("join reply has %d peers: %w", len(r.Peers), ErrInvalid)
	}
	if len(r.Suspects) > maxSuspects {
		return fmt.Errorf("join reply has %d suspects: %w", len(r.Suspects), ErrInvalid)
	}
	for _, p := range r.Peers {
		if err := validatePeer(p); err != nil {
			return err
		}
	}
	return r.Self.Validate()
}

// Validate checks the bounds of the message.
func (u *Update) Validate() error {
	if u.Stage < StageSubmit || u.Stage > StageTree {
		return fmt.Errorf("update has unknown stage %d: %w", u.Stage, ErrInvalid)
	}
	if len(u.Root) > maxNameBytes {
		return fmt.Errorf("root has %d bytes: %w", len(u.Root), ErrInvalid)
	}
	return validateEntries(u.Entries)
}

func validatePeer(p mesh.Peer) error {
	if p.ID == "" || len(p.ID) > maxNameBytes {
		return fmt.Errorf("peer id has %d bytes: %w", len(p.ID), ErrInvalid)
	}
	return validateAddr(p.Addr)
}

func validateEntries(entries []Entry) error {
	if len(entries) > MaxEntries {
		return fmt.Errorf("message has %d entries: %w", len(entries), ErrInvalid)
	}
	for i := range entries {
		if err := entries[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}
