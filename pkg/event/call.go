package event

// Events of calls.
var (
	ListenerOpened  = register(600, "listener-opened", LevelInfo, "a listener for calls was opened", "")
	ListenerFailed  = register(601, "listener-failed", LevelError, "a listener for calls ended on an error", "Look at the error; the node takes no calls on that listener until it is restarted.")
	ListenerDrained = register(602, "listener-drained", LevelInfo, "a listener was closed with no call in flight", "")
	ListenerCut     = register(603, "listener-cut", LevelWarn, "a listener was closed while calls were in flight", "Raise drain.timeout if planned stops cut calls.")
	HopRejected     = register(604, "hop-rejected", LevelWarn, "hop headers without a valid token were ignored", "Check that all nodes have the same shared secret; otherwise look at the caller.")
	LoopFound       = register(605, "loop-found", LevelWarn, "a call passed through too many nodes or services", "Look for services that call each other in a circle.")
	ReplyCut        = register(606, "reply-cut", LevelWarn, "a reply broke off after its beginning had been passed on; the caller's connection was closed", "Look for a crash of the upstream.")
	EndpointEjected = register(607, "endpoint-ejected", LevelWarn, "an upstream was ejected because its calls fail", "Look at the upstream; it is tried again by itself.")
	EndpointBack    = register(608, "endpoint-readmitted", LevelInfo, "an ejected upstream gets calls again", "")
)
