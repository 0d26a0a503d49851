package event

// Events of orders and of the quarantine.
var (
	OrderTableCreated = register(700, "order-table-created", LevelInfo, "the owners of a service's idempotency keys were recorded for the first time", "")
	OrderOwnerChanged = register(701, "order-owner-changed", LevelInfo, "shards of idempotency keys have new owners", "")
	OrderWriteUnknown = register(702, "order-write-unknown", LevelWarn, "the answer to an update of order owners was lost; the object is read back", "None if rare. If it repeats, look at the platform's latency.")
	OrderWriteFailed  = register(703, "order-write-failed", LevelWarn, "order owners could not be updated; ranges are not extended", "Look at the platform. Orders go on as far as the ranges reach; see docs/operators/orders.md.")
	OrderHandedOver   = register(704, "order-handed-over", LevelInfo, "a stopping node handed its ranges and records to successors", "")
	OrderHandOverFail = register(705, "order-hand-over-failed", LevelWarn, "a stopping node could not hand over ranges or records", "Re-sent orders of this node are answered unknown until its ranges end; see docs/operators/orders.md.")
	OrderStoreFull    = register(706, "order-store-full", LevelWarn, "the records of orders are full; new orders are refused as not run", "Add upstream hosts to the service or shorten the retention.")
	OrderTableMissing = register(707, "order-table-missing", LevelError, "the recorded owners of a service's idempotency keys are gone or older than known", "Restore the object from the platform's backup; orders with keys that no known owner holds are refused.")
	PoisonQuarantined = register(720, "poison-quarantined", LevelWarn, "a call that crashed upstreams is quarantined on every node", "Find the caller by the fingerprint; lift the quarantine once the upstream is mended.")
	PoisonLifted      = register(721, "poison-lifted", LevelInfo, "an operator lifted a quarantine", "")
	PoisonSuspected   = register(722, "poison-suspected", LevelInfo, "an upstream crashed while calls were running; they are suspects", "")
)
