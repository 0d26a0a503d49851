package event

// Events of the upstream of this host.
var (
	UpstreamChanged     = register(820, "upstream-changed", LevelInfo, "the upstream of this host reported a changed state", "")
	HeartbeatRefused    = register(821, "heartbeat-refused", LevelWarn, "a heartbeat cannot be decoded, lacks a field or belongs to another service or address; it has no effect", "Find its sender.")
	HeartbeatDeferred   = register(830, "heartbeat-deferred", LevelInfo, "the first heartbeat arrived before the store or a peer had sent the last record of the upstream; heartbeats take effect from the next one", "")
	HeartbeatOutdated   = register(822, "heartbeat-outdated", LevelInfo, "a heartbeat was older than the current record and was ignored", "")
	UpstreamDown        = register(823, "upstream-down", LevelWarn, "the upstream of this host no longer listens; the requests that were in progress are suspected of having crashed it", "Check the upstream's own log.")
	RequestQuarantined  = register(824, "request-quarantined", LevelWarn, "a request crashed several upstreams and is refused from now on", "Find the caller by the fingerprint.")
	RequestsSuspected   = register(838, "requests-suspected", LevelInfo, "requests that were in progress when an upstream crashed count as suspects, each with its fingerprint and the number of its crashes since it last completed", "")
	SuspicionCleared    = register(839, "suspicion-cleared", LevelInfo, "a request that was suspected of crashing upstreams completed on one, and is no longer refused", "")
	UpstreamRecovered   = register(826, "upstream-recovered", LevelInfo, "the upstream of this host, which did not listen, answered a request", "")
	RouteMeanHalved     = register(827, "route-mean-halved", LevelInfo, "the mean duration of a route was halved, because it alone made the node refuse the route's requests and no recent answer corrected it", "")
	UpstreamAvoided     = register(828, "upstream-avoided", LevelWarn, "requests to the upstream of a host get no answer; it is used only if no other is left", "Check that host and the links to its data centre.")
	UpstreamLimited     = register(831, "upstream-limited", LevelWarn, "the upstream of this host named another limit of requests a second in an answer, or none; requests is the number that this node sent to it in the forMs before", "Check the upstream's own log.")
	NoticeUnreadable    = register(832, "upstream-notice-unreadable", LevelWarn, "an answer of the upstream of this host names a limit that is not a number; the previous limit stays in force", "Check the upstream.")
	UpstreamLeaving     = register(833, "upstream-leaving", LevelInfo, "an answer of the upstream of this host says that it leaves", "")
	NestedCallsExceeded = register(834, "nested-calls-exceeded", LevelWarn, "a request that runs at the upstream of this host has made so many calls that further ones are served like new requests", "Check what the request with that id does, and who knows its id.")
	UpstreamHangs       = register(835, "upstream-hangs-when-full", LevelWarn, "the upstream of this host left requests unanswered when more than its slots were in use; requests without an answer now keep their slots until their deadline", "Check that the slots in its heartbeat are those that it has.")
	UpstreamHangsNoMore = register(836, "upstream-hang-forgotten", LevelInfo, "requests without an answer free their slots early again", "")
	BodyNotReceived     = register(837, "body-not-received", LevelWarn, "the large body of a request did not come from the node that sent the request, or there was no memory for it; the request did not run", "Read the error; check the node that it names, or the memory for bodies.")
	UpstreamReinstated  = register(829, "upstream-reinstated", LevelInfo, "the upstream of a host that was avoided answered again", "")
)

// Events of roll-outs of service versions.
var (
	RolloutOrdered          = register(840, "rollout-ordered", LevelInfo, "the store has an order to roll out a version of a service; this node coordinates it", "")
	RolloutChanged          = register(841, "rollout-changed", LevelInfo, "the phase, the share or the canaries of a roll-out changed, as far as this node knows", "")
	RolloutDecided          = register(842, "rollout-decided", LevelWarn, "this node decided on a roll-out: the requests move, the version is used, or it is rolled back; figures has what the decision is based on", "If the version was rolled back, the reason and the figures say what was seen; see docs/operators/versions.md.")
	RolloutStatusWritten    = register(843, "rollout-status-written", LevelInfo, "the status of a roll-out was written to the store", "")
	RolloutStatusNotWritten = register(844, "rollout-status-not-written", LevelWarn, "the status of a roll-out could not be written to the store; it is tried again", "Check the store if this lasts.")
	RolloutTakenOver        = register(845, "rollout-taken-over", LevelWarn, "nothing was heard of the coordinator of a roll-out, and this node takes its place", "Check the host of the former coordinator.")
	RolloutSilent           = register(846, "rollout-silent", LevelWarn, "nothing was heard of the coordinator of an active roll-out; this node sends nothing to the new version", "Check the links to the other data centres.")
	RolloutUnreadable       = register(847, "rollout-unreadable", LevelError, "an order to roll out a version cannot be decoded and is not executed", "Correct the order.")
	RolloutCanaryExcluded   = register(848, "rollout-canary-excluded", LevelWarn, "an upstream of a version that is being rolled out has a problem that the others do not have; it gets no more requests as a canary", "Check that upstream's own log.")
)
