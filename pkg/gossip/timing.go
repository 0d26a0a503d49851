package gossip

import "time"

// Timing holds the intervals and timeouts of the service.
type Timing struct {
	// ProbeInterval is the time between two probes sent by this node.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer, and again for an indirect one.
	ProbeTimeout time.Duration
	// ExchangeInterval is the time between two anti-entropy exchanges when no
	// difference was seen.
	ExchangeInterval time.Duration
	// ExchangeGap is the shortest time between two exchanges.
	ExchangeGap time.Duration
	// GatewayInterval is the time between two exchanges of a lead with each other
	// data centre.
	GatewayInterval time.Duration
	// ContactsInterval is the time between two looks of the first lead at the
	// contact objects.
	ContactsInterval time.Duration
	// PushTimeout bounds one push to a child or lead.
	PushTimeout time.Duration
	// EchoTimeout is the time after which a node whose own update has not come down
	// the tree hands it to another lead.
	EchoTimeout time.Duration
	// CallTimeout bounds one call of an exchange or join.
	CallTimeout time.Duration
	// JoinSpread is the longest wait of a starting node before it asks the platform.
	JoinSpread time.Duration
	// JoinBackoff and MaxJoinBackoff bound the wait between two tries to join.
	JoinBackoff    time.Duration
	MaxJoinBackoff time.Duration
	// LeaveTimeout bounds the farewell.
	LeaveTimeout time.Duration
}

// DefaultTiming returns the timing of a node in production.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		ExchangeInterval: 30 * time.Second,
		ExchangeGap:      500 * time.Millisecond,
		GatewayInterval:  3 * time.Second,
		ContactsInterval: time.Minute,
		PushTimeout:      300 * time.Millisecond,
		EchoTimeout:      700 * time.Millisecond,
		CallTimeout:      2 * time.Second,
		JoinSpread:       time.Second,
		JoinBackoff:      500 * time.Millisecond,
		MaxJoinBackoff:   30 * time.Second,
		LeaveTimeout:     2 * time.Second,
	}
}

const (
	defaultFanout = 4
	// indirectProbes is the number of helpers that probe a silent member.
	indirectProbes = 3
	// firstContactsShare divides the contacts interval into the wait of a starting
	// node, which gives it the time to be found by others.
	firstContactsShare = 4
	// failedProbeEvery is the number of probe rounds between two looks at a failed
	// member.
	failedProbeEvery = 5
	// joinsPerSecond and joinBurst bound the joins that one node admits.
	joinsPerSecond = 20
	joinBurst      = 20
	// maxServing bounds the exchanges served at a time.
	maxServing = 8
	// maxPushing bounds the updates passed on at a time.
	maxPushing = 64
	// pushAttempts is the number of tries before a child is gone around.
	pushAttempts = 2
	// updateEntries bounds the entries of one update.
	updateEntries = 128
	// batchDelay is the wait for further entries before an update leaves.
	batchDelay = 20 * time.Millisecond
	// settleTime is how long the table must be unchanged before a differing digest
	// counts; updates are on their way before.
	settleTime = 300 * time.Millisecond
	// settleLimit is the longest time for which changes hold back exchanges.
	settleLimit = 5 * time.Second
	// publishGap and publishGapPerMember make the shortest time between two views.
	publishGap          = 10 * time.Millisecond
	publishGapPerMember = 50 * time.Microsecond
	// maxSyncRounds bounds the exchanges of one repair.
	maxSyncRounds = 64
	// centreFailures is the number of failed rounds that make a data centre
	// unreachable.
	centreFailures = 2
	// visitTries is the number of members of a data centre that one round tries.
	visitTries = 2
	// gossipEntries is the number of entries that ride on one probe.
	gossipEntries = 3
)
