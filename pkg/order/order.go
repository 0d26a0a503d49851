// Package order decides whether a non-idempotent call with an Idempotency-Key
// may run, so that each key runs at most once. The decisions are pure; package
// ledger does the I/O and is looked up under the name "orders".
package order

import (
	"context"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// HeaderKey is the request header that names an order.
const HeaderKey = "Idempotency-Key"

// Request identifies an order.
type Request struct {
	Service string
	Key     string
	// Digest covers method, path and body; the same key with another digest is refused.
	Digest [32]byte
}

// Outcome is the stored answer of an order that ran.
type Outcome struct {
	Status int
	Header []Header
	Body   []byte
}

// Header is one response header.
type Header struct {
	Name, Value string
}

// Verdict tells the caller of Begin what to do.
type Verdict string

// The verdicts.
const (
	// VerdictRun: run the order once and report with Finish, NotRun or Lost.
	VerdictRun Verdict = "run"
	// VerdictReplay: answer with the stored outcome.
	VerdictReplay Verdict = "replay"
	// VerdictRefuse: answer with the reason and effect; nothing runs now.
	VerdictRefuse Verdict = "refuse"
)

// Decision is the answer of Begin.
type Decision struct {
	Verdict Verdict
	Reason  reason.Reason
	// Effect tells whether the order has run, has not, or may have.
	Effect  reason.Effect
	Outcome *Outcome
	// RetryAfter tells the caller when to come back; zero means that it is not said.
	RetryAfter time.Duration
}

// Place is the answer of Locate.
type Place struct {
	// Node owns the key; empty if no node does, with Reason and Effect to answer.
	Node   model.NodeID
	Reason reason.Reason
	Effect reason.Effect
	// RetryAfter tells the caller when to come back; zero means that it is not said.
	RetryAfter time.Duration
}

// Ledger is what the proxy looks up under the name "orders".
type Ledger interface {
	// Locate returns the node on which an order must run.
	// It answers from a local cache; only the first order for a service waits for
	// a peer, for a bounded time.
	Locate(service, key string) Place
	// Moved tells that the node named by Locate refused a key as key-unowned, so
	// that the cached owners of the service are read again.
	Moved(service string)
	// Begin claims the key on this node. After VerdictRun exactly one of Finish,
	// NotRun and Lost must follow.
	Begin(ctx context.Context, r Request) Decision
	// Finish stores the outcome of an order that ran.
	Finish(r Request, o Outcome)
	// NotRun releases a key whose order never reached an upstream.
	NotRun(r Request)
	// Lost records that an order may have run without a whole answer.
	Lost(r Request)
}
