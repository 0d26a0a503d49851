package event

// Events of hosts and of the connections between nodes.
var (
	HostChanged             = register(420, "host-changed", LevelInfo, "the record of a host changed", "")
	HostRemoved             = register(421, "host-removed", LevelInfo, "a host was removed", "")
	PeerConnected           = register(422, "peer-connected", LevelInfo, "a connection to another node is open", "")
	PeerDisconnected        = register(423, "peer-disconnected", LevelWarn, "the connection to another node was lost", "Check that host and the links to its data centre.")
	HostRecordsReceived     = register(425, "host-records-received", LevelInfo, "records of several hosts arrived together; each is listed with its host, incarnation, change and the state of its upstream", "")
	HostTableNotEncoded     = register(426, "host-table-not-encoded", LevelError, "the host table could not be encoded for another node", "Report it with the error.")
	PeerMessageUnreadable   = register(427, "peer-message-unreadable", LevelError, "a message from another node cannot be decoded, or a host record in it is invalid and was ignored", "Check whether that node runs another version.")
	UpdateSourceReplaced    = register(428, "update-source-replaced", LevelWarn, "a node that sends updates to this one is silent; another takes its place until it is heard again", "Check that host if this lasts.")
	RemovedHostSought       = register(429, "removed-host-sought", LevelInfo, "the store does not answer, and this node tries to reach a host that was removed: a node that starts there knows no other", "")
	InboundPeerDisconnected = register(424, "inbound-peer-disconnected", LevelInfo, "a connection that another node opened to this one was closed", "")
)
