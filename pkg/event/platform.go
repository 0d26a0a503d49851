package event

// Events of the platform's object API, as this process sees it.
var (
	PlatformDown = register(200, "platform-down", LevelWarn, "the platform does not answer; calls to it fail at once until it does", "Look at the platform; the mesh goes on with what it has, but no bundle can be accepted.")
	PlatformUp   = register(201, "platform-up", LevelInfo, "the platform answers again", "")
)
