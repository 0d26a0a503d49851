package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// brokenConn is the connection that ReportBroken returns.
type brokenConn struct {
	net.Conn
	// mu is held while a write is in progress.
	mu sync.Mutex
	// broken is the error of the first write that found the connection broken.
	broken error
}

// ReportBroken returns a connection on which Read returns io.EOF only if the peer has closed its
// side in order. The kernel reports a broken connection, such as one that the peer has reset, to
// one call only. If that is a Write, later reads of the socket look like the end of the stream;
// Read returns the error of the Write instead. Once Read has met the end, nothing more can be
// written.
func ReportBroken(c net.Conn) net.Conn { return &brokenConn{Conn: c} }

// Read implements net.Conn.
func (c *brokenConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if broken := c.writeError(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// writeError ends the write in progress, if there is one, and returns the error of the first
// write that found the connection broken.
func (c *brokenConn) writeError() error {
	_ = c.SetWriteDeadline(time.Now()) // fails only if the connection is closed
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// Write implements net.Conn.
func (c *brokenConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.broken == nil && isBroken(err) {
		c.broken = err
	}
	return n, err
}

// isBroken reports whether the error of a write means that the connection broke before the peer
// closed its side. A reset that follows the close of the peer's side gives EPIPE.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
