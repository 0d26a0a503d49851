package event

// Events of membership and contacts.
var (
	MemberJoined    = register(400, "membership-joined", LevelInfo, "this node joined the mesh", "")
	MemberAlive     = register(401, "member-alive", LevelInfo, "a member returned or refuted a suspicion", "")
	MemberSuspect   = register(402, "member-suspect", LevelInfo, "a member did not answer probes", "")
	MemberFailed    = register(403, "member-failed", LevelWarn, "a member failed: it did not refute in time", "Look at the host named in the event, unless its data centre has trouble.")
	MemberLeft      = register(404, "member-left", LevelInfo, "a member left gracefully", "")
	SelfRefuted     = register(405, "suspicion-refuted", LevelInfo, "this node refuted what a peer believed of it", "If it repeats, look at packet loss and processor load of this host.")
	IDConflict      = register(406, "node-id-conflict", LevelError, "another process seems to use the id of this node", "Give each node its own id in its settings.")
	CentreCut       = register(407, "data-centre-unreachable", LevelWarn, "a data centre cannot be reached; its upstreams are kept and used last", "Look at the links between the data centres.")
	CentreHealed    = register(408, "data-centre-reachable", LevelInfo, "a data centre can be reached again", "")
	JoinDeferred    = register(409, "join-deferred", LevelInfo, "a peer asked this node to join later or elsewhere", "")
	JoinFailed      = register(410, "join-failed", LevelWarn, "no contact admitted this node; it tries again", "Check the contacts in the settings, the platform, and the mesh certificates.")
	UpdateUnacked   = register(411, "update-unacknowledged", LevelWarn, "no lead took an update; anti-entropy carries it", "")
	MemberBadInput  = register(412, "membership-message-refused", LevelWarn, "a peer sent a membership message that breaks a bound", "Check that all nodes run releases that can talk to each other.")
	ContactsWritten = register(413, "contacts-written", LevelInfo, "the contacts of this data centre were written to the platform", "")
	ContactsFailed  = register(414, "contacts-failed", LevelWarn, "the contacts could not be read or written", "Check the platform; joining by known peers goes on.")
	SelfLeft        = register(415, "membership-left", LevelInfo, "this node told its peers that it leaves", "")
)
