// Package retry decides whether a failed call is tried again. It is pure.
//
// A call is retried only on the first node of its leg, within its remaining
// time and the service's budget. A call that is itself part of a retry further
// out is not retried again, so that the retries of a deep chain add up and do
// not multiply. docs/design/retries.md works out the bound.
package retry

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

const (
	// maxFree is the largest number of tries for refusals that cost no work.
	maxFree = 4
	// maxBroken is the largest number of tries of a call whose reply broke off: the
	// call itself may have crashed the upstream.
	maxBroken = 2
	// MinRemaining is the shortest remaining time in which a try is worth it.
	MinRemaining = 2 * time.Millisecond
)

// Try describes a failed try.
type Try struct {
	// Number counts the tries of this call on this node, from 1.
	Number int
	// Attempts is the largest number of tries that the route allows.
	Attempts int
	// Idempotent calls may run more than once.
	Idempotent bool
	// Replayable tells that the whole request is at hand to be sent again.
	Replayable bool
	// Nested tells that the call is part of a retry further out.
	Nested    bool
	Reason    reason.Reason
	Effect    reason.Effect
	Remaining time.Duration
}

// Verdict says what to do after a failed try.
type Verdict string

// The verdicts.
const (
	// Stop: the failure is the answer.
	Stop Verdict = "stop"
	// Free: try again; the failed try cost no upstream any work.
	Free Verdict = "free"
	// Paid: try again if the budget has a token left.
	Paid Verdict = "paid"
)

// Decide says whether a failed try is followed by another.
func Decide(t Try) Verdict {
	if !t.Replayable || t.Remaining < MinRemaining {
		return Stop
	}
	if t.Effect != reason.NotRun && !t.Idempotent {
		return Stop
	}
	if IsFree(t.Reason) {
		if t.Effect == reason.NotRun && t.Number < maxFree {
			return Free
		}
		return Stop
	}
	most := t.Attempts
	switch t.Reason {
	case reason.QueueFull, reason.QueueTimeout, reason.Shed:
	case reason.ReplyBroken, reason.UpstreamError:
		most = min(most, maxBroken)
	default:
		return Stop
	}
	if t.Number < most && !t.Nested {
		return Paid
	}
	return Stop
}

// Together returns what several tries of one call tell about it, given what the
// earlier ones and the last one tell: it did not run only if no try ran.
func Together(earlier, last reason.Effect) reason.Effect {
	if last == reason.NotRun && earlier != reason.NotRun {
		return reason.Unknown
	}
	return last
}

// IsFree reports whether a refusal cost no upstream any work.
func IsFree(r reason.Reason) bool {
	switch r {
	case reason.NodeStopping, reason.UpstreamLeaving, reason.UpstreamUnknown, reason.ConnectFailed, reason.KeyUnowned:
		return true
	}
	return false
}

const (
	// burst is the number of retries that a service may do at once.
	burst = 10
	// defaultPercent is the budget of a service that does not set one.
	defaultPercent = 20
)

// Budget bounds the retries of one service to a share of its calls. It is not
// safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget that allows a first burst.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Call adds the share of one call. A percent of zero means the default.
func (b *Budget) Call(percent int) {
	if percent <= 0 {
		percent = defaultPercent
	}
	b.tokens = min(burst, b.tokens+float64(percent)/100)
}

// Take uses up one retry and reports whether there was one left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// WorstCase returns the largest number of calls that one call from outside may
// cause at the given depth of nesting, if every try fails: with the mark that
// a call is part of a retry, and without it.
func WorstCase(attempts, depth int) (marked, unmarked int) {
	marked, unmarked = 1, 1
	for range depth {
		marked += attempts - 1
		unmarked *= attempts
	}
	return marked, unmarked
}
