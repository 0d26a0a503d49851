package wire

import (
	"errors"
	"log"
	"strings"
)

// errHandshake is the cause of a connection that ended before it was a peer's.
var errHandshake = errors.New("wire: handshake failed")

// handshakeLog takes the messages of the HTTP server and counts failed TLS
// handshakes, which the server reports in no other way.
func (t *Transport) handshakeLog() *log.Logger {
	return log.New(handshakeWriter{t}, "", 0)
}

type handshakeWriter struct {
	transport *Transport
}

// Write implements io.Writer for one message of the server.
func (w handshakeWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.Contains(text, "TLS handshake error") {
		w.transport.refuse(refusedCertificate, text, errHandshake)
	}
	return len(line), nil
}
