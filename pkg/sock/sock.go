// Package sock inspects the receive buffers of sockets without consuming data.
package sock

import (
	"errors"
	"net"
	"syscall"
)

// BufferState is what a socket's receive buffer holds.
type BufferState int

// The states of a receive buffer.
const (
	// Empty: the buffer is empty and the connection open.
	Empty BufferState = iota
	// Readable: at least one byte can be read.
	Readable
	// Closed: the peer closed or reset the connection.
	Closed
)

// Peek returns the state of a connection's receive buffer. It neither blocks nor consumes
// data. A connection without a file descriptor gives errors.ErrUnsupported.
func Peek(c net.Conn) (BufferState, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Empty, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed, err
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed, err
	case errors.Is(recvErr, syscall.EAGAIN), errors.Is(recvErr, syscall.EINTR):
		return Empty, nil
	case n > 0:
		return Readable, nil
	}
	return Closed, nil
}
