package dispatch

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// RetryDecision is the decision on what follows a failed try.
type RetryDecision string

// Decisions that can follow a failed try.
const (
	// NoRetry ends the request.
	NoRetry RetryDecision = "stop"
	// RetryFree retries the request without using the retry budget, because it reached no
	// upstream.
	RetryFree RetryDecision = "free"
	// RetryBudgeted retries the request if the retry budget allows it, because an upstream may have
	// received it.
	RetryBudgeted RetryDecision = "paid"
)

const (
	// maxTries bounds the nodes that one request is sent to.
	maxTries = 6
	// maxWaitRefusals bounds the nodes that may refuse to queue one request. Each of them had
	// the lowest estimated cost, so the remaining ones are unlikely to accept it.
	maxWaitRefusals = 2
	// minTimeLeft is the shortest time before the deadline in which another try can succeed.
	minTimeLeft = 15 * time.Millisecond
	// maxNestedTries bounds the nodes that one nested call is sent to. Its caller does not retry
	// it, so it is tried at more upstreams than a new request.
	maxNestedTries = 12
)

// FailedTry describes a try that got no answer or a failure from an upstream.
type FailedTry struct {
	// Tries is the number of nodes that the request was sent to, WaitRefusals the number that
	// refused to queue it, and Arrivals the number of upstreams that may have received it.
	Tries        int
	WaitRefusals int
	Arrivals     int
	// MaxAttempts is the limit of Arrivals.
	MaxAttempts int
	Idempotent  bool
	// Nested is set for a call of a request that runs.
	Nested bool
	// Outcome is the outcome of this try. Arrived reports whether an upstream may have
	// received the request in it.
	Outcome link.Outcome
	Arrived bool
	Left    time.Duration
}

// maxTries returns the largest number of nodes that the request is sent to.
func (t *FailedTry) maxTries() int {
	if t.Nested {
		return maxNestedTries
	}
	return maxTries
}

// DecideRetry returns what follows a failed try.
func DecideRetry(t FailedTry) RetryDecision {
	if t.Left < minTimeLeft || t.Tries >= t.maxTries() || !t.Nested && t.WaitRefusals >= maxWaitRefusals {
		return NoRetry
	}
	if t.Outcome != link.NotRun && !t.Idempotent {
		return NoRetry
	}
	if !t.Arrived {
		return RetryFree
	}
	if t.Arrivals >= t.MaxAttempts {
		return NoRetry
	}
	return RetryBudgeted
}
