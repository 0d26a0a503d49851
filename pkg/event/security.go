package event

// Events of certificates.
var (
	CredentialsKept = register(920, "credentials-kept", LevelError, "changed files of the node's certificate cannot be used; the former ones stay in use", "Read the error and mend the files.")
)
