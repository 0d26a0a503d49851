package event

// Events of certificates.
var (
	CertificateReloadFailed = register(920, "certificate-reload-failed", LevelError, "the changed certificate files of the node cannot be used; the previous certificate stays in use", "Read the error and correct the files.")
)
