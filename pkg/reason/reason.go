// Package reason lists every reason for which a call is refused or tried
// again, and what each one says about whether the call ran. The same names
// appear in response headers, metrics, logs and the operators' pages.
package reason

// Effect tells whether a call ran on an upstream.
type Effect string

// The effects of a call.
const (
	// NotRun: no upstream received any part of the call.
	NotRun Effect = "not-run"
	// Run: the upstream answered.
	Run Effect = "run"
	// Unknown: the upstream may have run the call.
	Unknown Effect = "unknown"
)

// Reason is one entry of the list.
type Reason string

// The reasons.
const (
	NoBundle         Reason = "no-bundle"
	NoRoute          Reason = "no-route"
	NoUpstream       Reason = "no-upstream"
	NodeStopping     Reason = "node-stopping"
	UpstreamLeaving  Reason = "upstream-leaving"
	UpstreamUnknown  Reason = "upstream-unknown"
	ConnectFailed    Reason = "connect-failed"
	QueueFull        Reason = "queue-full"
	QueueTimeout     Reason = "queue-timeout"
	Shed             Reason = "shed"
	DeadlineExpired  Reason = "deadline-expired"
	DeadlineExceeded Reason = "deadline-exceeded"
	CallerGone       Reason = "caller-gone"
	ReplyBroken      Reason = "reply-broken"
	UpstreamError    Reason = "upstream-error"
	BodyTooLarge     Reason = "body-too-large"
	BadRequest       Reason = "bad-request"
	LoopDetected     Reason = "loop-detected"
	RetryBudget      Reason = "retry-budget"
	Poison           Reason = "poison"
	KeyMissing       Reason = "key-missing"
	KeyMalformed     Reason = "key-malformed"
	KeyReused        Reason = "key-reused"
	KeyInProgress    Reason = "key-in-progress"
	KeyOutcome       Reason = "key-outcome-unknown"
	KeyExpired       Reason = "key-expired"
	KeyUnowned       Reason = "key-unowned"
	KeyStoreFull     Reason = "key-store-full"
	PlatformDown     Reason = "platform-down"
)

// Headers that carry the answer of the system itself to the caller.
const (
	HeaderReason     = "Tarragondrum-Reason"
	HeaderEffect     = "Tarragondrum-Effect"
	HeaderRetryAfter = "Retry-After"
	HeaderVersion    = "Tarragondrum-Version"
	HeaderReplayed   = "Tarragondrum-Replayed"
)
