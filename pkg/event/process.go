package event

// Events of the process and its settings.
var (
	ProcessStarted      = register(100, "process-started", LevelInfo, "the process started; the fields have its version and the commit of which it was built", "")
	ProcessStopping     = register(101, "process-stopping", LevelInfo, "the process is shutting down gracefully", "")
	ProcessStopped      = register(102, "process-stopped", LevelInfo, "the process stopped", "")
	ServiceStopFailed   = register(103, "service-stop-failed", LevelWarn, "a service did not stop cleanly before its deadline", "Check the service named in the event; requests in progress may have been cut off.")
	SettingsNeedRestart = register(106, "settings-need-restart", LevelWarn, "settings changed that take effect only after a restart", "Restart the node at a convenient time.")
	SettingsReloaded    = register(120, "settings-reloaded", LevelInfo, "the settings were reloaded", "")
	SettingsRefused     = register(121, "settings-refused", LevelError, "the changed settings are invalid; the previous ones stay in use", "Read the error: it names each key.")
	PanicRecovered      = register(123, "panic-recovered", LevelError, "a panic ended one request, connection or loop iteration; the process continues", "Report it with the stack in the event; restart the node at a convenient time.")
	LogLinesDropped     = register(122, "log-lines-dropped", LevelWarn, "log lines were dropped because the output was too slow or too many lines were written", "")
	RequestsCut         = register(125, "requests-cut", LevelWarn, "the process ended while callers' requests were unanswered; their connections were closed without an answer", "Compare it with 102: pending there counts the requests that ran too long, the others arrived later.")
	ProfileRequested    = register(124, "profile-requested", LevelInfo, "a profile of the process was requested", "")
)
