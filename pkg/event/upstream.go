package event

// Events of the upstream of this host.
var (
	UpstreamBeat    = register(820, "upstream-heartbeat", LevelInfo, "the upstream of this host changed what it says of itself", "")
	UpstreamBadBeat = register(821, "heartbeat-refused", LevelWarn, "a heartbeat cannot be read or is of another service", "Find its sender.")
	UpstreamUnsure  = register(830, "heartbeat-not-relied-on", LevelInfo, "a first heartbeat came while neither the store nor a peer has told what is known of the upstream; it is used with the next one", "")
	UpstreamOldBeat = register(822, "heartbeat-late", LevelInfo, "a heartbeat was older than what is known and changed nothing", "")
	UpstreamDied    = register(823, "upstream-died", LevelWarn, "the upstream of this host does not listen any more; requests that ran are suspects", "Look at the upstream's own log.")
	RequestPoison   = register(824, "request-quarantined", LevelWarn, "a request crashed several upstreams and is refused from now on", "Find the caller by the fingerprint.")
	UpstreamRevived = register(826, "upstream-answers-again", LevelInfo, "the upstream of this host, which did not listen, answered a request", "")
	RouteMeanHalved = register(827, "route-mean-halved", LevelInfo, "the mean time of a route was halved, since it alone ruled out its requests and no answer came lately", "")
	UpstreamSilent  = register(828, "upstream-avoided", LevelWarn, "requests to the upstream of a host bring no answer; it is used only if no other is left", "Look at that host and the links to its data centre.")
	UpstreamAnswers = register(829, "upstream-not-avoided", LevelInfo, "the upstream of a host that was avoided brought an answer", "")
)
