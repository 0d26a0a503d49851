package event

// Events of the process and its settings.
var (
	ProcessStarted   = register(100, "process-started", LevelInfo, "the process started", "")
	ProcessStopping  = register(101, "process-stopping", LevelInfo, "the process stops gracefully", "")
	ProcessStopped   = register(102, "process-stopped", LevelInfo, "the process ended", "")
	ServiceStopFail  = register(103, "service-stop-failed", LevelWarn, "a service did not stop cleanly in time", "Look at the service named in the event; calls in flight may have been cut.")
	SettingsIgnored  = register(106, "settings-need-restart", LevelWarn, "settings changed that take effect at the next start", "Restart the node when it suits.")
	SettingsReloaded = register(120, "settings-reloaded", LevelInfo, "the settings were read again", "")
	SettingsRefused  = register(121, "settings-refused", LevelError, "the changed settings cannot be used; the former ones stay", "Read the error: it names each key.")
	PanicCaught      = register(123, "panic-caught", LevelError, "an unexpected error ended one request, connection or step of a loop; the process goes on", "Report it with the stack in the event; restart the node when it suits.")
	LogLinesDropped  = register(122, "log-lines-dropped", LevelWarn, "log lines were dropped since the output was too slow or too much was to be said", "")
	ProfileTaken     = register(124, "profile-taken", LevelInfo, "a profile of the process was asked for", "")
)
