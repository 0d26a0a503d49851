package event

// Events of hosts and the connections between nodes.
var (
	HostChanged = register(420, "host-changed", LevelInfo, "the record of a host changed", "")
	HostRemoved = register(421, "host-removed", LevelInfo, "a host was taken away", "")
	PeerUp      = register(422, "peer-connected", LevelInfo, "a connection with another node is open", "")
	PeerDown    = register(423, "peer-lost", LevelWarn, "the connection with another node was lost", "Look at that host and the links to its data centre.")
	CallerLost  = register(424, "caller-lost", LevelInfo, "the connection that another node opened to this one ended", "")
)
