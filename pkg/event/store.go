package event

// Events of the platform's store and of leads, which read it for others.
var (
	StoreLost      = register(220, "store-lost", LevelWarn, "the platform's store does not answer or turns this node away", "Look at the platform; peers are followed meanwhile.")
	StoreBack      = register(221, "store-back", LevelInfo, "the platform's store answers again", "")
	StoreEntryBad  = register(222, "store-entry-unreadable", LevelWarn, "an entry of the store cannot be read and names no host to use", "Find its writer.")
	RosterSaved    = register(223, "roster-saved", LevelInfo, "the records of the hosts of a data centre were written to the store", "")
	RosterNotSaved = register(224, "roster-not-saved", LevelWarn, "the records of the hosts of a data centre could not be written; that is tried again", "Look at the platform; peers are told directly.")
	RosterNotRead  = register(229, "roster-not-read", LevelWarn, "this node starts and could not read the hosts of its data centre; that is tried again", "Look at the platform; other nodes tell this one what they know once they reach it.")
	HostWithdrawn  = register(225, "host-withdrawn", LevelInfo, "this node stops and its upstream has ended; others were told to forget the host", "")
	LeadStarted    = register(226, "lead-started", LevelInfo, "this node reads the store for others, as it hears no other that does", "")
	LeadEnded      = register(227, "lead-ended", LevelInfo, "another node reads the store for this one", "")
	RecordFound    = register(228, "former-record-found", LevelInfo, "the store or a peer knows more of the upstream of this host than this process, from a former one", "")
)
