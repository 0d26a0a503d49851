package event

// Events of the admin listener.
var (
	AdminRefused = register(950, "admin-refused", LevelWarn, "an admin request without the token was refused", "Check who sends requests from the remote address.")
)
