// Package sock inspects the receive buffers of sockets without consuming data.
package sock

import (
	"errors"
	"net"
	"syscall"
)

// Waiting is what a socket's receive buffer holds.
type Waiting int

// The states of a receive buffer.
const (
	// Nothing: the buffer is empty and the connection open.
	Nothing Waiting = iota
	// Bytes: at least one byte can be read.
	Bytes
	// End: the peer closed or reset the connection.
	End
)

// Peek returns the state of a connection's receive buffer. It neither blocks nor consumes
// data. A connection without a file descriptor gives errors.ErrUnsupported.
func Peek(c net.Conn) (Waiting, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Nothing, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return End, err
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return End, err
	case errors.Is(recvErr, syscall.EAGAIN), errors.Is(recvErr, syscall.EINTR):
		return Nothing, nil
	case n > 0:
		return Bytes, nil
	}
	return End, nil
}
