package event

// Events of the transport between nodes.
var (
	MeshRefused        = register(900, "mesh-refused", LevelWarn, "something that a peer sent was refused", "Look at the reason and the sender; a peer with a bad certificate or seal is not one of the mesh.")
	CertificateKept    = register(901, "certificate-kept", LevelError, "the new certificate files cannot be used; the former ones stay in use", "Repair the files before the former certificate expires.")
	MeshListenerFailed = register(902, "mesh-listener-failed", LevelError, "the listener for other nodes ended", "Restart the node; look at the error.")
)
