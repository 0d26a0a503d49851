package httpserver_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/httpserver"
)

// refusals counts the reasons that a server reports.
type refusals struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *refusals) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = make(map[string]int)
	}
	r.count[reason]++
}

func (r *refusals) of(reason string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[reason]
}

// start starts a server that answers every request to /x with the size of its body.
func start(t *testing.T, bounds httpserver.Bounds, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := httpserver.Serve(wrap(l), bounds, func(h *server.Hertz) {
		h.Any("/x", func(_ context.Context, rc *app.RequestContext) {
			rc.String(http.StatusOK, fmt.Sprint(len(rc.Request.Body())))
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.Stop(ctx) // connections that a test leaves open end with the test
	})
	return s.Addr()
}

func plain(l net.Listener) net.Listener { return l }

func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

const get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

func status(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		t.Fatal(err)
	}
	return a.StatusCode
}

// Guards against requests that are sent a byte at a time, each within the time for a read, and
// so never end.
func TestSlowRequestIsClosed(t *testing.T) {
	for name, text := range map[string]string{
		"header": "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: ",
		"body":   "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
		"chunks": "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var seen refusals
			address := start(t, httpserver.Bounds{RequestTime: 150 * time.Millisecond, OnRefuse: seen.add}, plain)
			c, r := dial(t, address, get)
			is.Equal(status(t, r), http.StatusOK)
			_, err := io.WriteString(c, text)
			is.NoErr(err)
			go func() {
				for err == nil {
					_, err = io.WriteString(c, "x")
					time.Sleep(20 * time.Millisecond)
				}
			}()
			is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
			_, err2 := io.Copy(io.Discard, r)
			is.True(!errors.Is(err2, context.DeadlineExceeded) && !isTimeout(err2)) // the server closed it
			is.True(seen.of(httpserver.ReasonRequestTime) > 0)
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Guards against callers that hold all connections of a server: the connection that got no
// answer for the longest time makes room, and callers that complete their requests are
// served.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	const connections = 4
	var seen refusals
	address := start(t, httpserver.Bounds{Connections: connections, OnRefuse: seen.add}, plain)
	kept, keptReader := dial(t, address, get)
	is.Equal(status(t, keptReader), http.StatusOK)
	silent := make([]net.Conn, 3*connections)
	for i := range silent {
		silent[i], _ = dial(t, address, "GET /x HT")
		time.Sleep(5 * time.Millisecond)
		if i == 0 { // a caller that goes on is not the one that makes room
			_, err := io.WriteString(kept, get)
			is.NoErr(err)
			is.Equal(status(t, keptReader), http.StatusOK)
		}
	}
	for range 10 {
		_, r := dial(t, address, get)
		is.Equal(status(t, r), http.StatusOK)
	}
	is.True(seen.of(httpserver.ReasonConnections) >= 2*connections)
	is.NoErr(silent[0].SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err := silent[0].Read(make([]byte, 1))
	is.True(err != nil && !isTimeout(err))
}

// failingListener fails to accept a number of times, as when no descriptor is free.
type failingListener struct {
	net.Listener
	left atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that stops for ever after a failed accept, as hertz does, when
// callers have used up the descriptors for a moment.
func TestFailedAcceptsAreSurvived(t *testing.T) {
	is := is.New(t)
	address := start(t, httpserver.Bounds{}, func(l net.Listener) net.Listener {
		failing := &failingListener{Listener: l}
		failing.left.Store(3)
		return failing
	})
	_, r := dial(t, address, get)
	is.Equal(status(t, r), http.StatusOK)
}

// Guards against headers and bodies of any size. Those within the limits are served.
func TestSizesAreBounded(t *testing.T) {
	is := is.New(t)
	address := start(t, httpserver.Bounds{HeaderBytes: 2000, BodyBytes: 1000}, plain)
	for text, want := range map[string]int{
		"GET /x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1500) + "\r\n\r\n":                                    http.StatusOK,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000):                       http.StatusOK,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n":                                                   http.StatusRequestEntityTooLarge,
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n": http.StatusRequestEntityTooLarge,
	} {
		_, r := dial(t, address, text)
		is.Equal(status(t, r), want)
	}
	_, r := dial(t, address, "GET /x HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 4000)+"\r\n\r\n")
	is.True(status(t, r) >= http.StatusBadRequest)
}

// A request with a field name that is not a token is refused, and what follows it on the connection is
// not read as a request.
func TestInvalidFieldNamesAreRefused(t *testing.T) {
	for _, line := range []string{
		"Content-Length : 30", "Content-Length\t: 30", "Content-Len\rgth: 30", "Transfer-Encoding : chunked",
		"X More: 1", "X\tMore: 1", "X\x01More: 1", "X\x00More: 1", "X(More): 1", "X-Mor\xe9: 1",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			address := start(t, httpserver.Bounds{RequestTime: 5 * time.Second}, plain)
			c, _ := dial(t, address, "POST /x HTTP/1.1\r\nHost: h\r\n"+line+"\r\n\r\n"+get)
			is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
			text, err := io.ReadAll(c)
			is.True(err == nil || errors.Is(err, syscall.ECONNRESET)) // closed
			is.True(strings.HasPrefix(string(text), "HTTP/1.1 400 "))
			is.Equal(strings.Count(string(text), "HTTP/1.1 "), 1)
		})
	}
}
