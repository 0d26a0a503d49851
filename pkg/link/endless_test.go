package link_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// What answers at the address of a node may be no node: an address is given to others once its
// host is gone. An answer to the upgrade that does not end is given up after a few bytes.
func TestEndlessUpgradeAnswers(t *testing.T) {
	for name, tt := range map[string]struct{ first, repeated string }{
		"no answer":          {"", strings.Repeat("\x00\xff", 500)},
		"status line":        {"HTTP/1.1 101 ", strings.Repeat("O", 1000)},
		"header lines":       {"HTTP/1.1 101 Switching Protocols\r\n", "X-More: " + strings.Repeat("x", 100) + "\r\n"},
		"short header lines": {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"interim answers":    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":               {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 100)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() { written <- pour(c, tt.first, []byte(strings.Repeat(tt.repeated, 1+4<<10/len(tt.repeated)))) }()
				}
			}()
			peer := link.NewPeer(identity("caller", 1), "target", l.Addr().String(), quiet())
			t.Cleanup(peer.Close)
			const allowed = 1 << 20 // the head, and what the buffers of the sockets take
			select {
			case n := <-written:
				if n > allowed {
					t.Errorf("%d bytes were taken", n)
				}
			case <-time.After(5 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}

// pour answers a request without end and returns the number of bytes written until the connection
// is closed.
func pour(c net.Conn, first string, block []byte) int {
	defer func() { _ = c.Close() }()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(4 << 10)
	}
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return 0
	}
	total, err := io.WriteString(c, first)
	for err == nil {
		var n int
		n, err = c.Write(block)
		total += n
	}
	return total
}
