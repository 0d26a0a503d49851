package event

// Events of requests.
var (
	ListenerFailed = register(601, "listener-failed", LevelError, "a listener for calls ended on an error", "Look at the error; the node takes no calls on that listener until it is restarted.")
	RequestServed  = register(620, "request-answered", LevelInfo, "an upstream's answer was passed on", "")
	RequestRefused = register(621, "request-refused", LevelWarn, "a request was refused; it did not run", "The reason names the cause; see docs/OPERATIONS.md.")
	RequestFailed  = register(622, "request-failed", LevelWarn, "a request failed; it may have run", "The reason names the cause; see docs/OPERATIONS.md.")
	TryEnded       = register(623, "try-without-answer", LevelInfo, "a try of a request brought no answer; next says what follows, stop, free or paid by the retry budget, and allowed whether it does", "")
	IntakeRefused  = register(624, "intake-refused", LevelInfo, "the node beside the upstream refused a request; it did not run", "")
	IntakeFailed   = register(625, "intake-failed", LevelWarn, "the upstream gave no usable answer to a request", "Look at the upstream.")
	RequestAbandon = register(626, "request-abandoned", LevelInfo, "the caller left before the answer", "")
	RequestUnread  = register(627, "request-unreadable", LevelWarn, "a request could not be read whole", "Look at the caller.")
)
