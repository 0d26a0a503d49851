package event

// Events of the platform's store and of leads, the nodes that read it on behalf of others.
var (
	StoreUnavailable     = register(220, "store-unavailable", LevelWarn, "the platform's store does not answer or refuses this node", "Check the platform; updates from peers are used meanwhile.")
	StoreRecovered       = register(221, "store-recovered", LevelInfo, "the platform's store answers again", "")
	StoreEntryUnreadable = register(222, "store-entry-unreadable", LevelWarn, "an entry of the store cannot be decoded; no host is taken from it", "Find the program that wrote the entry.")
	RosterSaved          = register(223, "roster-saved", LevelInfo, "the host records of a data centre were written to the store", "")
	RosterSaveFailed     = register(224, "roster-save-failed", LevelWarn, "the host records of a data centre could not be written to the store; the write is retried", "Check the platform; peers get the records directly.")
	RosterReadFailed     = register(229, "roster-read-failed", LevelWarn, "this node is starting and could not read the host records of its data centre; the read is retried", "Check the platform; other nodes send their records once they reach this one.")
	HostWithdrawn        = register(225, "host-withdrawn", LevelInfo, "this node is shutting down and its upstream is gone; other nodes were told to remove the host, and keep that the upstream is gone", "")
	LeadStarted          = register(226, "lead-started", LevelInfo, "this node reads the store on behalf of others, because it hears from no other node that does", "")
	LeadEnded            = register(227, "lead-ended", LevelInfo, "another node reads the store on behalf of this one", "")
	StoreRestored        = register(230, "store-restored", LevelWarn, "the platform's store was restored from an older copy; what it had acknowledged since that copy is lost there", "Compare the version in force with the one in the store, and sign off what the store has lost again.")
	ConfigRead           = register(231, "config-read", LevelInfo, "this node read the configuration from the store, because the store's revision had changed", "")
	WatchFailed          = register(232, "config-watch-failed", LevelInfo, "a watch of the configuration ended with an error; it is repeated, and plain reads go on meanwhile", "")
	OwnRecordRead        = register(233, "own-record-read", LevelInfo, "this node has started and read the host records of its data centre from the store; the fields have what they say of its upstream, nothing if they do not have it", "")
	PreviousRecordFound  = register(228, "previous-record-found", LevelInfo, "the store or a peer has a newer record of the upstream of this host than this process, written by a previous process", "")
)
