package dispatch

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// Next is the decision on what follows a failed try.
type Next string

// Decisions that can follow a failed try.
const (
	// Stop ends the request.
	Stop Next = "stop"
	// Free retries the request without using the retry budget, because it reached no
	// upstream.
	Free Next = "free"
	// Paid retries the request if the retry budget allows it, because an upstream may have
	// received it.
	Paid Next = "paid"
)

const (
	// maxTries bounds the nodes that one request is sent to.
	maxTries = 6
	// maxWaitRefusals bounds the nodes that may refuse to queue one request. Each of them had
	// the lowest estimated cost, so the remaining ones are unlikely to accept it.
	maxWaitRefusals = 2
	// minTimeLeft is the shortest time before the deadline in which another try can succeed.
	minTimeLeft = 15 * time.Millisecond
)

// Try describes a try that got no answer or a failure from an upstream.
type Try struct {
	// Places is the number of nodes that the request was sent to, Waits the number that
	// refused to queue it, and Arrivals the number of upstreams that may have received it.
	Places   int
	Waits    int
	Arrivals int
	// MaxAttempts is the limit of Arrivals.
	MaxAttempts int
	Idempotent  bool
	// Outcome is the outcome of this try. Arrived reports whether an upstream may have
	// received the request in it.
	Outcome link.Outcome
	Arrived bool
	Left    time.Duration
}

// Decide returns what follows a failed try.
func Decide(t Try) Next {
	if t.Left < minTimeLeft || t.Places >= maxTries || t.Waits >= maxWaitRefusals {
		return Stop
	}
	if t.Outcome != link.NotRun && !t.Idempotent {
		return Stop
	}
	if !t.Arrived {
		return Free
	}
	if t.Arrivals >= t.MaxAttempts {
		return Stop
	}
	return Paid
}
