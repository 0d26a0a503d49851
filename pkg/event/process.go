package event

// Events of the process itself.
var (
	ProcessStarted  = register(100, "process-started", LevelInfo, "the process started", "")
	ProcessStopping = register(101, "process-stopping", LevelInfo, "the process stops gracefully", "")
	ProcessStopped  = register(102, "process-stopped", LevelInfo, "the process ended", "")
	ServiceStopFail = register(103, "service-stop-failed", LevelWarn, "a service did not stop cleanly in time", "Look at the service named in the event; calls in flight may have been cut.")
)
