package h1_test

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
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

func serve(t *testing.T, handle h1.Handler) *h1.Server {
	t.Helper()
	s := &h1.Server{
		Handle: handle,
		Refuse: func(status int, _ error) *h1.Response { return &h1.Response{Status: status, Header: http.Header{}} },
		Limits: func() h1.Limits {
			return h1.Limits{HeaderBytes: 2048, BodyBytes: 10_000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 500 * time.Millisecond}
		},
		PanicResponse: func() *h1.Response { return &h1.Response{Status: 502, Header: http.Header{}} },
		Memory:        memory.New(1 << 20),
	}
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func echo(_ context.Context, q *h1.Request) *h1.Response {
	return &h1.Response{Status: 200, Header: http.Header{}, Body: append([]byte(q.Method+" "+q.Target+" "), q.Body...)}
}

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

func read(t *testing.T, r *bufio.Reader) (int, string, bool) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(body), a.Close
}

func TestRequestsOfEveryForm(t *testing.T) {
	for name, tt := range map[string]struct {
		request string
		status  int
		body    string
		closes  bool
	}{
		"no body":              {"GET /a?b=%20c HTTP/1.1\r\nHost: h\r\n\r\n", 200, "GET /a?b=%20c ", false},
		"body with a length":   {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz", 200, "POST /a xyz", false},
		"body in chunks":       {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n", 200, "POST /a xyz", false},
		"closed by the caller": {"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 200, "GET /a ", true},
		"HTTP/1.0":             {"GET /a HTTP/1.0\r\nHost: h\r\n\r\n", 200, "GET /a ", true},
		"garbage":              {"not a request\r\n\r\n", 400, "", true},
		"header too large":     {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", 431, "", true},
		"body too large":       {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10001\r\n\r\n", 413, "", true},
		"two lengths":          {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nxyz", 400, "", true},
		"header never ends":    {"GET /a HTTP/1.1\r\nHost: h\r\n", 408, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, r := dial(t, serve(t, echo).Address(), tt.request)
			status, body, closes := read(t, r)
			is.Equal(status, tt.status)
			is.Equal(body, tt.body)
			is.Equal(closes, tt.closes)
		})
	}
}

// A request has both Content-Length and chunked encoding. The chunked encoding decides where
// its body ends, so that no second request is smuggled in the body.
func TestSmuggledRequestIsNotHandled(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var targets []string
	s := serve(t, func(ctx context.Context, q *h1.Request) *h1.Response {
		mu.Lock()
		defer mu.Unlock()
		targets = append(targets, q.Target)
		return echo(ctx, q)
	})
	_, r := dial(t, s.Address(), "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	status, body, _ := read(t, r)
	is.Equal(status, 200)
	is.Equal(body, "POST /a ")
	// The data after the chunks is the next request of the same caller.
	_, body, _ = read(t, r)
	is.Equal(body, "GET /b ")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(targets), 2)
}

// The handler's context is cancelled when the caller disconnects.
func TestDisconnectCancelsHandler(t *testing.T) {
	is := is.New(t)
	for _, last := range []string{"", "Connection: close\r\n"} {
		cancelled := make(chan struct{})
		s := serve(t, func(ctx context.Context, _ *h1.Request) *h1.Response {
			<-ctx.Done()
			close(cancelled)
			return &h1.Response{Status: 200, Header: http.Header{}}
		})
		c, _ := dial(t, s.Address(), "GET /a HTTP/1.1\r\nHost: h\r\n"+last+"\r\n")
		is.NoErr(c.Close())
		select {
		case <-cancelled:
		case <-time.After(2 * time.Second):
			t.Fatal("the context of the handler was not cancelled")
		}
	}
}

// While the server drains, requests that were read get complete responses, and the last one
// announces that the connection closes. Retire closes idle connections.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := serve(t, func(ctx context.Context, q *h1.Request) *h1.Response {
		<-release
		return echo(ctx, q)
	})
	c, r := dial(t, s.Address(), "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	for s.Pending() < 2 {
		time.Sleep(time.Millisecond)
	}
	idle, idleReader := dial(t, s.Address(), "")
	s.Drain()
	s.Retire()
	close(release)
	_, first, closes := read(t, r)
	is.Equal(first, "GET /1 ")
	is.True(!closes)
	_, second, closes := read(t, r)
	is.Equal(second, "GET /2 ")
	is.True(closes)
	_ = c
	is.NoErr(idle.SetReadDeadline(time.Now().Add(2 * time.Second)))
	_, err := idleReader.ReadByte()
	is.True(err != nil && !errors.Is(err, context.DeadlineExceeded))
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	c, r := dial(t, serve(t, echo).Address(), "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _, _ = read(t, r)
	is.NoErr(c.SetReadDeadline(time.Now().Add(2 * time.Second)))
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}

// A request whose body exceeds the memory budget gets status 503 and is not handled.
func TestNoMemoryForBody(t *testing.T) {
	is := is.New(t)
	s := serve(t, echo)
	s.Memory = memory.New(100)
	_, r := dial(t, s.Address(), fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n%s", strings.Repeat("x", 200)))
	status, _, _ := read(t, r)
	is.Equal(status, 503)
	_, r = dial(t, s.Address(), "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"+strings.Repeat("x", 50))
	status, _, _ = read(t, r)
	is.Equal(status, 200)
}

// Requests that arrive just before Retire are answered: those on connections that are not
// accepted yet, those whose bytes are not read yet, and those that are partly read.
func TestRetireAnswersWhatHasCome(t *testing.T) {
	is := is.New(t)
	for range 20 {
		release := make(chan struct{})
		s := serve(t, func(ctx context.Context, q *h1.Request) *h1.Response {
			if q.Path != "/first" {
				<-release
			}
			return echo(ctx, q)
		})
		const callers = 40
		readers := make([]*bufio.Reader, callers)
		kept, keptReader := dial(t, s.Address(), "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, _ = read(t, keptReader)
		half, halfReader := dial(t, s.Address(), "GET /half HTTP/1.1\r\nHo")
		for i := range callers {
			_, readers[i] = dial(t, s.Address(), fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i))
		}
		_, err := io.WriteString(kept, "GET /again HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		s.Drain()
		s.Retire()
		close(release)
		_, err = io.WriteString(half, "st: h\r\n\r\n")
		is.NoErr(err)
		for i := range callers {
			_, body, closes := read(t, readers[i])
			is.Equal(body, fmt.Sprintf("GET /%d ", i))
			is.True(closes)
		}
		_, body, _ := read(t, keptReader)
		is.Equal(body, "GET /again ")
		_, body, _ = read(t, halfReader)
		is.Equal(body, "GET /half ")
	}
}

// A retiring server counts as retired only when it reads no more requests: not while a
// connection that it has accepted may still bring one, or before that one is answered.
func TestRetiredServerReadsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{})
	s := serve(t, func(ctx context.Context, q *h1.Request) *h1.Response {
		close(handled)
		time.Sleep(100 * time.Millisecond)
		return echo(ctx, q)
	})
	s.Drain()
	s.Retire()
	c, r := dial(t, s.Address(), "")
	silent, silentReader := dial(t, s.Address(), "")
	time.Sleep(60 * time.Millisecond) // longer than the listener waits for a connection
	is.True(!s.IsRetired())
	_, err := io.WriteString(c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-handled
	is.True(!s.IsRetired())
	_, body, closes := read(t, r)
	is.Equal(body, "GET /late ")
	is.True(closes)
	waitRetired(t, s, time.Second)
	is.NoErr(silent.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = silentReader.ReadByte()
	is.Equal(err, io.EOF) // the connection that brought no request is closed
}

// A server retires in bounded time although callers keep connecting, and answers each
// request that it has handled.
func TestRetireEndsWhileCallersKeepConnecting(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	handled, answered := 0, 0
	s := serve(t, func(ctx context.Context, q *h1.Request) *h1.Response {
		mu.Lock()
		handled++
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		return echo(ctx, q)
	})
	var callers sync.WaitGroup
	stop := make(chan struct{})
	callers.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			callers.Go(func() {
				c, err := net.Dial("tcp", s.Address())
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				if a, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && a.StatusCode == http.StatusOK {
					mu.Lock()
					answered++
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(100 * time.Millisecond)
	s.Drain()
	s.Retire()
	waitRetired(t, s, time.Second)
	is.NoErr(s.Close())
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	is.True(handled > 0)
	is.Equal(answered, handled)
}

func waitRetired(t *testing.T, s *h1.Server, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); !s.IsRetired(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not retired after %s", limit)
		}
	}
}

// A panic in a handler affects only its own request.
func TestPanicEndsOneRequest(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(ctx context.Context, q *h1.Request) *h1.Response {
		if q.Path == "/bad" {
			panic("unexpected")
		}
		return echo(ctx, q)
	})
	_, r := dial(t, s.Address(), "GET /bad HTTP/1.1\r\nHost: h\r\n\r\nGET /good HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, _ := read(t, r)
	is.Equal(status, 502)
	status, body, _ := read(t, r)
	is.Equal(status, 200)
	is.Equal(body, "GET /good ")
}

// A request that is cut before its end, by a caller that closes its side of the connection,
// is not handled.
func TestCutRequestsAreNotHandled(t *testing.T) {
	for name, whole := range map[string]string{
		"without a body": "GET /a HTTP/1.1\r\nHost: h\r\nX-Deadline: 1200\r\n\r\n",
		"with a length":  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz",
		"in chunks":      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			handled := 0
			s := serve(t, func(ctx context.Context, q *h1.Request) *h1.Response {
				mu.Lock()
				defer mu.Unlock()
				handled++
				return echo(ctx, q)
			})
			for n := 1; n < len(whole); n++ {
				c, r := dial(t, s.Address(), whole[:n])
				if err := c.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r) // until the server closes
				mu.Lock()
				if handled > 0 {
					t.Fatalf("%q was handled", whole[:n])
				}
				mu.Unlock()
				_ = c.Close()
			}
		})
	}
}

// A response whose status is not final is not written to the caller, who gets the response
// for a request that failed inside this process. Its memory is released.
func TestStatusThatIsNoAnswerIsNotWritten(t *testing.T) {
	for _, status := range []int{-1, 0, 20, 99, 100, 101, 199, 600, 1000} {
		is := is.New(t)
		answers := memory.New(100)
		s := serve(t, func(context.Context, *h1.Request) *h1.Response {
			held := answers.NewReservation()
			is.True(held.TryGrow(5))
			return &h1.Response{Status: status, Header: http.Header{}, Body: []byte("hello"), Held: held}
		})
		_, r := dial(t, s.Address(), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		got, body, _ := read(t, r)
		is.Equal(got, http.StatusBadGateway)
		is.Equal(body, "")
		is.Equal(answers.Used(), int64(0))
	}
}
