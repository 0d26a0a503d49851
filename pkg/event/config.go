package event

// Events of applying configurations.
var (
	ConfigApplied    = register(540, "config-applied", LevelInfo, "a version of the configuration took effect on this node", "")
	RouteKindUnknown = register(542, "route-kind-unknown", LevelWarn, "a route has a kind that this version of the node does not know; each of its requests is attempted at most once", "Check whether the kind is misspelt, or whether a newer version of the node knows it.")
	RecordUnreadable = register(543, "sign-off-record-unreadable", LevelWarn, "the sign-off record of the configuration in force cannot be read; handover pages say so", "Find the tool that wrote the version, and sign off a bundle again.")
	ConfigSkipped    = register(544, "config-skipped", LevelInfo, "a configuration does not replace the one in force, because it is not newer", "")
	ProofLost        = register(545, "currency-proof-lost", LevelWarn, "this node has no recent proof that the configuration in force is current, and refuses requests with keys", "Look for 220 and 423 on this node, for a version that was refused (541), and for a store that does not answer.")
	ProofRegained    = register(546, "currency-proof-regained", LevelInfo, "this node has a recent proof again that the configuration in force is current, and serves requests with keys", "")
	ConfigRefused    = register(541, "config-refused", LevelError, "a new configuration was rejected as a whole; the previous one stays in force", "Read the error and write a corrected version.")
)
