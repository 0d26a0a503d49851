package event

// Events of applying configurations.
var (
	ConfigApplied    = register(540, "config-applied", LevelInfo, "a version of the configuration took effect on this node", "")
	RouteKindUnknown = register(542, "route-kind-unknown", LevelWarn, "a route has a kind that this version of the node does not know; each of its requests is attempted at most once", "Check whether the kind is misspelt, or whether a newer version of the node knows it.")
	RecordUnreadable = register(543, "sign-off-record-unreadable", LevelWarn, "the sign-off record of the configuration in force cannot be read; handover pages say so", "Find the tool that wrote the version, and sign off a bundle again.")
	ConfigSkipped    = register(544, "config-skipped", LevelInfo, "a configuration does not replace the one in force, because it is not newer", "")
	ConfigRefused    = register(541, "config-refused", LevelError, "a new configuration was rejected as a whole; the previous one stays in force", "Read the error and write a corrected version.")
)
