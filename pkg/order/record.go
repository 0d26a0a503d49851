package order

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// retryRunning is when the caller of a running order should ask again.
const retryRunning = time.Second

// State is the state of an order in the records of its owner.
type State uint8

// The states of an order. A record of an order that did not run is removed.
const (
	// StateRunning: the order was given to an upstream and has not ended.
	StateRunning State = iota + 1
	// StateFinished: the order ran and its outcome is kept.
	StateFinished
	// StateLost: the order may have run; there is no outcome.
	StateLost
	// StateClaimed: the key of an opaque order is claimed; the order has not run.
	StateClaimed
)

// Record is what an owner remembers of one order.
type Record struct {
	ID      ID       `cbor:"1,keyasint"`
	Birth   Birth    `cbor:"2,keyasint"`
	Shard   int      `cbor:"3,keyasint"`
	Digest  [32]byte `cbor:"4,keyasint"`
	State   State    `cbor:"5,keyasint"`
	Outcome *Outcome `cbor:"6,keyasint,omitempty"`
}

func (r *Record) decide(digest [32]byte) Decision {
	d := Decision{Verdict: VerdictRefuse}
	switch {
	case r.Digest != digest:
		d.Reason, d.Effect = reason.KeyReused, reason.NotRun
	case r.State == StateRunning:
		d.Reason, d.Effect, d.RetryAfter = reason.KeyInProgress, reason.Unknown, retryRunning
	case r.State == StateClaimed:
		d.Reason, d.Effect, d.RetryAfter = reason.KeyUnowned, reason.NotRun, retryUnowned
	case r.State == StateFinished && r.Outcome != nil:
		return Decision{Verdict: VerdictReplay, Effect: reason.Run, Outcome: r.Outcome}
	case r.State == StateFinished:
		d.Reason, d.Effect = reason.KeyOutcome, reason.Run
	default:
		d.Reason, d.Effect = reason.KeyOutcome, reason.Unknown
	}
	return d
}

// Size returns the bytes that a stored outcome takes.
func (o *Outcome) Size() int {
	if o == nil {
		return 0
	}
	n := len(o.Body)
	for _, h := range o.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}
