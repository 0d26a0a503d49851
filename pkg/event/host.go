package event

// Events of hosts and the connections between nodes.
var (
	HostChanged    = register(420, "host-changed", LevelInfo, "the record of a host changed", "")
	HostRemoved    = register(421, "host-removed", LevelInfo, "a host was taken away", "")
	PeerUp         = register(422, "peer-connected", LevelInfo, "a connection with another node is open", "")
	PeerDown       = register(423, "peer-lost", LevelWarn, "the connection with another node was lost", "Look at that host and the links to its data centre.")
	HostsLearned   = register(425, "hosts-learned", LevelInfo, "records of hosts came in together; each is given by its host, incarnation, change and the state of its upstream", "")
	TableNotSent   = register(426, "table-not-sent", LevelError, "the table of hosts could not be encoded for another node", "Report it with the error.")
	PeerUnreadable = register(427, "peer-unreadable", LevelError, "what another node sent cannot be read", "Look whether that node runs another version.")
	ContactPassed  = register(428, "contact-passed-over", LevelWarn, "a node that this one hears news from says nothing; another takes its place until it is heard", "Look at that host if it lasts.")
	CallerLost     = register(424, "caller-lost", LevelInfo, "the connection that another node opened to this one ended", "")
)
