package distributor

import (
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

const (
	// maxNameBytes bounds the ids in messages.
	maxNameBytes = 256
	// maxUpdateBytes bounds an encoded update, with room for the message around it.
	maxUpdateBytes = mesh.MaxMessageBytes - 4096
	// maxHistory bounds the acceptances that a node keeps and sends.
	maxHistory = 16
)

// pushRequest hands a version to a peer. Without an update it is an offer.
type pushRequest struct {
	Version model.Version `cbor:"1,keyasint"`
	// Span is the range of ids that the receiver pushes to in turn. It is empty in
	// a handover: a lead that receives one starts the push in its data centre.
	Span rollout.Span `cbor:"2,keyasint"`
	// Update is an encoded bundle.Update.
	Update []byte `cbor:"3,keyasint,omitempty"`
	// ConfirmedMs is the time at which the platform confirmed the version, in
	// milliseconds since 1970.
	ConfirmedMs int64 `cbor:"4,keyasint,omitempty"`
}

// outcome is the answer to a push.
type outcome uint8

const (
	// outcomeHave: the receiver has applied the version or a newer one.
	outcomeHave outcome = 1
	// outcomeWant: the receiver needs the update, from the base it names.
	outcomeWant outcome = 2
	// outcomeRefused: the receiver refused the version and keeps its own.
	outcomeRefused outcome = 3
)

type pushReply struct {
	Outcome outcome `cbor:"1,keyasint"`
	// Version is in force on the receiver, Base is its content; Base is only set
	// with outcomeWant.
	Version model.Version `cbor:"2,keyasint"`
	Base    bundle.ID     `cbor:"3,keyasint,omitempty"`
	Reason  string        `cbor:"4,keyasint,omitempty"`
}

// pullRequest asks for the newest version of a peer.
type pullRequest struct {
	Version model.Version `cbor:"1,keyasint"`
	Base    bundle.ID     `cbor:"2,keyasint,omitempty"`
	// VersionOnly asks for the number alone.
	VersionOnly bool `cbor:"3,keyasint,omitempty"`
	// History asks for the newest acceptances too.
	History bool `cbor:"4,keyasint,omitempty"`
}

type pullReply struct {
	Version model.Version `cbor:"1,keyasint"`
	// Update leads from the base in the request to Version; empty when the
	// requester has it already.
	Update []byte `cbor:"2,keyasint,omitempty"`
	// Busy tells that the peer serves too many pulls at the moment.
	Busy bool `cbor:"3,keyasint,omitempty"`
	// Ready tells that the peer has itself learned the newest version.
	Ready       bool                `cbor:"4,keyasint,omitempty"`
	ConfirmedMs int64               `cbor:"5,keyasint,omitempty"`
	History     []bundle.Acceptance `cbor:"6,keyasint,omitempty"`
}

// reportRequest carries the summary of the sender's subtree to its parent.
type reportRequest struct {
	Summary rollout.Summary `cbor:"1,keyasint"`
}

type reportReply struct {
	Version     model.Version `cbor:"1,keyasint"`
	ConfirmedMs int64         `cbor:"2,keyasint,omitempty"`
	// PlatformUp tells that the platform answers, as far as the sender knows.
	PlatformUp bool `cbor:"3,keyasint,omitempty"`
}

// progressRequest asks a lead for the roll-out of its data centre.
type progressRequest struct{}

type progressReply struct {
	Progress rollout.Progress `cbor:"1,keyasint"`
}

func decodePush(body []byte) (pushRequest, error) {
	var r pushRequest
	if err := codec.Unmarshal(body, &r); err != nil {
		return r, err
	}
	if r.Version == 0 {
		return r, malformed("push of version 0")
	}
	if len(r.Update) > maxUpdateBytes {
		return r, malformed("update has %d bytes, at most %d are taken", len(r.Update), maxUpdateBytes)
	}
	if len(r.Span.First) > maxNameBytes || len(r.Span.Last) > maxNameBytes {
		return r, malformed("span has an id of more than %d bytes", maxNameBytes)
	}
	if r.Span.First > r.Span.Last {
		return r, malformed("span ends before it starts")
	}
	return r, nil
}

func decodePull(body []byte) (pullRequest, error) {
	var r pullRequest
	if err := codec.Unmarshal(body, &r); err != nil {
		return r, err
	}
	if len(r.Base) > maxNameBytes {
		return r, malformed("base has %d bytes, at most %d are taken", len(r.Base), maxNameBytes)
	}
	return r, nil
}

func decodeReport(body []byte) (reportRequest, error) {
	var r reportRequest
	if err := codec.Unmarshal(body, &r); err != nil {
		return r, err
	}
	if r.Summary.Applied < 0 {
		return r, malformed("summary counts %d nodes", r.Summary.Applied)
	}
	if len(r.Summary.Laggards) > rollout.MaxLaggards {
		return r, malformed("summary names %d laggards, at most %d are taken", len(r.Summary.Laggards), rollout.MaxLaggards)
	}
	for _, l := range r.Summary.Laggards {
		if len(l.Node) > maxNameBytes || len(l.Reason) > maxReasonBytes {
			return r, malformed("laggard %.32q is too long", l.Node)
		}
	}
	return r, nil
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), mesh.ErrMalformed)
}

func toMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMs(ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
