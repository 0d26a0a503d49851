package event

// Events of the upstream of this host.
var (
	UpstreamBeat    = register(820, "upstream-heartbeat", LevelInfo, "the upstream of this host changed what it says of itself", "")
	UpstreamBadBeat = register(821, "heartbeat-refused", LevelWarn, "a heartbeat cannot be read or is of another service", "Find its sender.")
	UpstreamOldBeat = register(822, "heartbeat-late", LevelInfo, "a heartbeat was older than what is known and changed nothing", "")
	UpstreamDied    = register(823, "upstream-died", LevelWarn, "the upstream of this host does not listen any more; requests that ran are suspects", "Look at the upstream's own log.")
	RequestPoison   = register(824, "request-quarantined", LevelWarn, "a request crashed several upstreams and is refused from now on", "Find the caller by the fingerprint.")
)
