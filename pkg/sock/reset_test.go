package sock_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/sock"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	near, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = near.Close() })
	c, err := l.Accept()
	is.NoErr(err)
	far, ok := c.(*net.TCPConn)
	is.True(ok)
	t.Cleanup(func() { _ = far.Close() })
	return near, far
}

// fill writes until the buffers of a connection are full and returns the error that ends the
// write.
func fill(c net.Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 16<<20))
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	return ended
}

// A reset of which a write gets the error is not the end of the stream for later reads.
func TestResetSeenByWriteIsNoEnd(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	c := sock.ReportBroken(near)
	written := fill(c)
	_, err := far.Write([]byte("part"))
	is.NoErr(err)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	is.True(errors.Is(<-written, syscall.ECONNRESET))
	part, err := io.ReadAll(c)
	is.Equal(string(part), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// The end of the stream is reported while a write is in progress, and ends that write. A reset
// that follows the end changes nothing.
func TestEndDuringWriteIsTheEnd(t *testing.T) {
	for name, resets := range map[string]bool{"open": false, "reset afterwards": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := pair(t)
			c := sock.ReportBroken(near)
			written := fill(c)
			_, err := far.Write([]byte("whole"))
			is.NoErr(err)
			is.NoErr(far.CloseWrite())
			if resets {
				is.NoErr(far.SetLinger(0))
				is.NoErr(far.Close())
				is.True(errors.Is(<-written, syscall.EPIPE))
			}
			whole, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(string(whole), "whole")
			if !resets {
				is.True(<-written != nil)
			}
		})
	}
}
