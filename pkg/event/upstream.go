package event

// Events of the upstream of this host.
var (
	UpstreamBeat    = register(820, "upstream-changed", LevelInfo, "the upstream of this host reported a changed state", "")
	UpstreamBadBeat = register(821, "heartbeat-refused", LevelWarn, "a heartbeat cannot be decoded or belongs to another service", "Find its sender.")
	UpstreamUnsure  = register(830, "heartbeat-deferred", LevelInfo, "the first heartbeat arrived before the store or a peer had sent the last record of the upstream; heartbeats take effect from the next one", "")
	UpstreamOldBeat = register(822, "heartbeat-outdated", LevelInfo, "a heartbeat was older than the current record and was ignored", "")
	UpstreamDied    = register(823, "upstream-down", LevelWarn, "the upstream of this host no longer listens; the requests that were in progress are suspected of having crashed it", "Check the upstream's own log.")
	RequestPoison   = register(824, "request-quarantined", LevelWarn, "a request crashed several upstreams and is refused from now on", "Find the caller by the fingerprint.")
	UpstreamRevived = register(826, "upstream-recovered", LevelInfo, "the upstream of this host, which did not listen, answered a request", "")
	RouteMeanHalved = register(827, "route-mean-halved", LevelInfo, "the mean duration of a route was halved, because it alone made the node refuse the route's requests and no recent answer corrected it", "")
	UpstreamSilent  = register(828, "upstream-avoided", LevelWarn, "requests to the upstream of a host get no answer; it is used only if no other is left", "Check that host and the links to its data centre.")
	UpstreamAnswers = register(829, "upstream-reinstated", LevelInfo, "the upstream of a host that was avoided answered again", "")
)
