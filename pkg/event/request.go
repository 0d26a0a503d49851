package event

// Events of requests.
var (
	ListenerFailed       = register(601, "listener-failed", LevelError, "a listener for requests ended with an error", "Read the error; the node accepts no requests on that listener until it is restarted.")
	RequestAnswered      = register(620, "request-answered", LevelInfo, "the answer of an upstream was passed on to the caller", "")
	RequestRefused       = register(621, "request-refused", LevelWarn, "a request was refused; it was not executed", "The reason names the cause; see docs/OPERATIONS.md.")
	RequestFailed        = register(622, "request-failed", LevelWarn, "a request failed; it may have been executed", "The reason names the cause; see docs/OPERATIONS.md.")
	AttemptWithoutAnswer = register(623, "attempt-without-answer", LevelInfo, "an attempt of a request brought no answer; next is stop, free or paid (a retry without or with a charge to the retry budget), and allowed tells whether it is done", "")
	IntakeRefused        = register(624, "intake-refused", LevelInfo, "the node beside the upstream refused a request; it was not executed", "")
	IntakeFailed         = register(625, "intake-failed", LevelWarn, "the upstream gave no usable answer to a request", "Check the upstream.")
	RequestAbandoned     = register(626, "request-abandoned", LevelInfo, "the caller disconnected before the answer", "")
	CallsOverloaded      = register(628, "calls-overloaded", LevelWarn, "the node starts to refuse a share of the new requests of a route, because calls that such requests make to a service are refused or late", "Look at the load of that service; it is short of slots.")
	CallsRecovered       = register(629, "calls-recovered", LevelInfo, "the node refuses no more requests of a route because of their calls", "")
	RequestUnreadable    = register(627, "request-unreadable", LevelWarn, "a request could not be read completely", "Check the caller.")
)
