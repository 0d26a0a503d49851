package event

// Violated invariants. Each one is a defect of the system.
var (
	InvariantVersionBack  = register(1000, "invariant-version-back", LevelError, "the version in force went back", "Report a defect with the log of the node.")
	InvariantPartial      = register(1001, "invariant-partial-application", LevelError, "the content in force differs from the accepted content", "Report a defect with the log of the node.")
	InvariantMissingRoute = register(1002, "invariant-route-without-service", LevelError, "a route in force points at a service that is not in force", "Report a defect with the log of the node.")
)

// RolloutInvariants lists the invariants of the roll-out; each count must be zero.
func RolloutInvariants() []Event {
	return []Event{InvariantVersionBack, InvariantPartial, InvariantMissingRoute}
}
