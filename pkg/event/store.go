package event

// Events of the platform's store and of leads, which read it for others.
var (
	StoreLost     = register(220, "store-lost", LevelWarn, "the platform's store does not answer or turns this node away", "Look at the platform; peers are followed meanwhile.")
	StoreBack     = register(221, "store-back", LevelInfo, "the platform's store answers again", "")
	StoreEntryBad = register(222, "store-entry-unreadable", LevelWarn, "an entry of the store cannot be read and names no host to use", "Find its writer.")
	StoreSaved    = register(223, "host-entry-saved", LevelInfo, "this host's entry was written to the store", "")
	StoreSaveFail = register(224, "host-entry-not-saved", LevelWarn, "this host's entry could not be written; it is tried again", "Look at the platform; peers are told directly.")
	StoreRemoved  = register(225, "host-entry-removed", LevelInfo, "the entry of a host that was unreachable for long was removed", "")
	LeadStarted   = register(226, "lead-started", LevelInfo, "this node reads the store for others, as it hears no other that does", "")
	LeadEnded     = register(227, "lead-ended", LevelInfo, "another node reads the store for this one", "")
	RecordFound   = register(228, "former-record-found", LevelInfo, "the store or a peer knows more of the upstream of this host than this process, from a former one", "")
)
