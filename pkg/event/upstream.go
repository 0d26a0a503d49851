package event

// Events of the upstreams of this host.
var (
	UpstreamAnnounced = register(800, "upstream-announced", LevelInfo, "an upstream of this host was announced", "")
	UpstreamChanged   = register(801, "upstream-changed", LevelInfo, "an upstream of this host changed its state", "")
	UpstreamCrashed   = register(802, "upstream-crashed", LevelWarn, "an upstream of this host stopped listening without draining", "Look at the upstream's own log; calls that were running are suspects.")
	UpstreamBack      = register(803, "upstream-back", LevelInfo, "an upstream that had crashed listens again", "")
	DrainTimedOut     = register(804, "drain-timed-out", LevelWarn, "calls were still in flight when the drain ended", "Raise drain.timeout or shorten the calls.")
	ProbeFailing      = register(805, "probe-failing", LevelWarn, "the health probe of an upstream fails", "Look at the upstream; it keeps its calls as long as they succeed.")
	ProbePassing      = register(806, "probe-passing", LevelInfo, "the health probe of an upstream succeeds again", "")
	LimitChanged      = register(807, "limit-changed", LevelDebug, "the adaptive concurrency limit of an upstream changed", "")
)
