package event

// Events of the process itself.
var (
	ProcessStarted    = register(100, "process-started", LevelInfo, "the process started", "")
	ProcessStopping   = register(101, "process-stopping", LevelInfo, "the process stops gracefully", "")
	ProcessStopped    = register(102, "process-stopped", LevelInfo, "the process ended", "")
	ServiceStopFail   = register(103, "service-stop-failed", LevelWarn, "a service did not stop cleanly in time", "Look at the service named in the event; calls in flight may have been cut.")
	OperatorsReplaced = register(104, "operators-replaced", LevelInfo, "the operators' keys were read again from the settings", "")
	SettingsKept      = register(105, "settings-kept", LevelError, "the changed settings file has faults; the former keys stay in use", "Run settings check on the file.")
	SettingsIgnored   = register(106, "settings-need-restart", LevelWarn, "settings other than the operators' keys changed; they take effect at the next start", "Restart the node when it suits.")
)
