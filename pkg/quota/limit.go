// Package quota divides the request limits of organisations among the nodes of a fleet.
//
// A limit is never copied, only divided: each node owns 1/N of every limit, and lets the hub
// of its data centre use its share for as long as a lease lasts. Therefore the sum over all
// nodes stays within the limit, whichever nodes consider themselves a hub, and nothing has to
// be agreed on or stored.
//
// At any time, the tokens in the bucket of a node and the tokens that it gave out and that
// may still be used are together at most its share of the capacity of a limit. What may run
// in a window is thus the capacity and what is added during the window.
//
// The package has no clock, random source, input or output. Times are readings of a clock
// that also runs while the machine is suspended.
package quota

import "time"

const (
	// TickInterval is the time between two requests of a follower to its hub, which renew the
	// lease of its share.
	TickInterval = 200 * time.Millisecond
	// FlushInterval is the least time between two sets of requests that a node sends because
	// of missing tokens. It bounds the messages of a node to 50 a second.
	FlushInterval = 20 * time.Millisecond
	// MaxWait is how long a request without a token waits for one.
	MaxWait = 150 * time.Millisecond
	// AskInterval is how long a waiting request waits for an answer before its node asks again.
	AskInterval = 50 * time.Millisecond
	// ProofTimeout is how long after the last proof that its configuration is current a node
	// still adds tokens.
	ProofTimeout = 10 * time.Second
	// lostPeriod is how long a host counts after it disappeared without a planned stop. Hosts are
	// removed from tables after 15 s without contact, and a node without contact stops adding
	// tokens after ProofTimeout, so that the others divide the limit among fewer only when it
	// has stopped.
	lostPeriod = 20 * time.Second
	// hostsPeriod is how long a number of hosts counts after it was last seen. It exceeds
	// settleTime, so that a share is used by nobody when the others divide the limit without it.
	hostsPeriod = 3 * time.Second
	// forgetAfter is how long a hub remembers a follower that has sent nothing.
	forgetAfter = 20 * time.Second
	// leaseTime is how long a hub counts the share of a follower after it made the tick that
	// the follower returned last.
	leaseTime = time.Second
	// maxValidity bounds how long a token may be used after the request for it was sent.
	maxValidity = 500 * time.Millisecond
	// settleTime is how long a share stays unused after its lease may have ended at another
	// hub, and after the start of a process, whose predecessor may have left a lease. By then
	// all tokens have expired that the former hub gave out with the share.
	settleTime = leaseTime + maxValidity
	// horizon is the time for which a node requests tokens in advance. It exceeds
	// TickInterval by the time that a message takes on a busy host.
	horizon = 300 * time.Millisecond
	// minAdvance is the expected use within the horizon from which tokens are requested in
	// advance. Below it, most of them would expire and be missing elsewhere meanwhile.
	minAdvance = 1
	// refusalMemory bounds how long a node refuses requests without asking its hub again,
	// after the hub had no tokens.
	refusalMemory = 200 * time.Millisecond
	// overdrawn is how many times as many tokens as a hub adds must be requested for it to tell
	// followers to ask no more before their next tick. Otherwise each of them asks up to 50 times
	// a second.
	overdrawn = 2
	// maxRefillWait bounds how long a hub lets a request wait for the next token that it adds.
	maxRefillWait = 100 * time.Millisecond
	// maxStep bounds the time for which tokens are added at once, so that a process that was
	// frozen does not add tokens for that time.
	maxStep = time.Second
	// lendReserve is the time for which a hub that lends tokens keeps the expected use. It is
	// short, since the hub may borrow as well.
	lendReserve = 100 * time.Millisecond
	// maxParts bounds the answers to one request that are told apart.
	maxParts = 64
	// marginShare is the part of the allowed excess and slack that is used for the capacity.
	// The rest covers requests that get their tokens at different times and run at once after
	// waiting in queues.
	marginShare = 0.5
	// rateMemory is the time constant of the estimates of rates.
	rateMemory = time.Second
)

// Settings bound how far all nodes together may exceed a limit: in any Window at most
// (rate x Window + burst) x (1+Excess) + Slack requests run.
type Settings struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Limit is the limit of an organisation over all nodes: RatePerS requests a second, and Burst
// more at once.
type Limit struct {
	RatePerS float64
	Burst    float64
}

// size is what follows from a limit.
type size struct {
	limit Limit
	// capacity bounds the tokens of all nodes that may be used at any time.
	capacity float64
	// validity is how long a token may be used, and hold how long its hub counts it as used.
	// In the time between, a follower may report that it was not used.
	validity, hold time.Duration
}

// sizeOf returns the sizes for a limit. The tokens given out within validity are at most half
// of the capacity at the full rate, so that a small burst does not reduce the rate.
func (s Settings) sizeOf(l Limit) size {
	z := size{limit: l, validity: maxValidity}
	z.capacity = l.Burst + marginShare*(s.Excess*(l.RatePerS*s.Window.Seconds()+l.Burst)+s.Slack)
	if l.RatePerS > 0 {
		z.validity = min(z.validity, time.Duration(z.capacity/(2*l.RatePerS)*float64(time.Second)))
	}
	z.validity = z.validity.Truncate(time.Millisecond)
	z.hold = z.validity * 8 / 5
	return z
}
