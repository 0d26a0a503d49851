package event

// Events of the limits of organisations.
var (
	QuotaHubChanged   = register(640, "quota-hub-changed", LevelInfo, "this node gets tokens for the limits of organisations from another hub, or is a hub itself", "")
	QuotaLimitReached = register(641, "quota-limit-reached", LevelInfo, "requests of an organisation were refused since the last such event, because it is above its limit or its tokens are elsewhere", "Compare the organisation's requests with its limit; if they are below it, see docs/OPERATIONS.md.")
	QuotaSuspended    = register(642, "quota-suspended", LevelWarn, "this node adds no tokens for the limits of organisations, since it has no recent proof of a current configuration or does not know all hosts", "Check the links of this host to the store and to other hosts.")
	QuotaResumed      = register(643, "quota-resumed", LevelInfo, "this node adds tokens for the limits of organisations", "")
)
