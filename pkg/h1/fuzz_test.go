package h1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

const fuzzBudget = 256 << 10

// Whatever an upstream sends, an exchange ends with a complete response to its own request
// or with an error, and an error leaves no memory reserved.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 2\r\n\r\nhi"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 000 OK\r\nId: me\r\nContent-Length: 2\r\n\r\nhi"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: me\r\nContent-Length : 2\r\n\r\nhi"), false)
	f.Fuzz(func(t *testing.T, sent []byte, used bool) {
		conn, peer := net.Pipe()
		go func() {
			_, _ = peer.Write(sent)
			_ = peer.Close()
		}()
		c := newClientConn(conn)
		c.used = used
		answers := memory.New(fuzzBudget)
		q := &Request{Method: http.MethodGet, Header: http.Header{"Id": {"me"}}}
		r, _, err := c.read(context.Background(), q, "Id", answers)
		_ = conn.Close()
		switch {
		case err != nil && answers.Used() != 0:
			t.Fatalf("%d bytes remain reserved after %v", answers.Used(), err)
		case err == nil && used && r.Header.Get("Id") != "me":
			t.Fatal("response without the id accepted on a used connection")
		case err == nil && !IsFinalStatus(r.Status):
			t.Fatalf("status %d", r.Status)
		case err == nil && !HasValidNames(r.Header):
			t.Fatalf("header %q", r.Header)
		case err == nil && int64(len(r.Body)) > fuzzBudget:
			t.Fatalf("body of %d bytes", len(r.Body))
		}
	})
}

// Whatever a caller sends, its connection ends without a panic and leaves no memory
// reserved.
func FuzzCaller(f *testing.F) {
	f.Add([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"))
	f.Add([]byte("GET http://[::1/x HTTP/1.1\r\nHost: \x00\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		conn, peer := net.Pipe()
		s := &Server{
			Handle: func(_ context.Context, q *Request) *Response {
				if !HasValidNames(q.Header) {
					t.Errorf("header %q", q.Header)
				}
				return &Response{Status: 200, Header: http.Header{}}
			},
			Refuse:        func(status int, _ error) *Response { return &Response{Status: status, Header: http.Header{}} },
			PanicResponse: func() *Response { return &Response{Status: 502, Header: http.Header{}} },
			Limits: func() Limits {
				return Limits{HeaderBytes: 2048, BodyBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			},
			Memory:      memory.New(fuzzBudget),
			ReportPanic: func(_ string, value any, stack []byte) { t.Errorf("%v\n%s", value, stack) },
		}
		go func() { _, _ = io.Copy(io.Discard, peer) }()
		go func() {
			_, _ = peer.Write(sent)
			_ = peer.Close()
		}()
		c := newServerConn(s, conn)
		c.serve()
		c.handlers.Wait()
		if used := s.Memory.Used(); used != 0 {
			t.Fatalf("%d bytes remain reserved", used)
		}
	})
}

// Whatever a caller sends, in pieces of any size, what a handled request takes is charged: its
// body is taken from the budget, and its header from the budget beyond the free part of the
// connection. The budget is never exceeded, and nothing remains charged at the end.
func FuzzCallerWithinMemory(f *testing.F) {
	fields := strings.Repeat("a:b\r\n", 40)
	f.Add([]byte("GET /x HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n"), 7, 1000)
	f.Add([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\nPOST /y HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n"), 50, 100)
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n\n\n\n\n\n\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"), 1, 10)
	f.Add([]byte(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20)), 1000, 4)
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n"+strings.Repeat("x", 4000)), 333, 2)
	f.Fuzz(func(t *testing.T, sent []byte, piece, kilobytes int) {
		piece, kilobytes = 1+max(0, piece)%5000, 1+max(0, kilobytes)%64
		conn, peer := net.Pipe()
		budget := int64(kilobytes) << 10
		memory := memory.New(budget)
		var c *serverConn
		s := &Server{
			Refuse:        func(status int, _ error) *Response { return &Response{Status: status, Header: http.Header{}} },
			PanicResponse: func() *Response { return &Response{Status: 502, Header: http.Header{}} },
			Limits: func() Limits {
				return Limits{HeaderBytes: 2048, BodyBytes: 8192, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			},
			Memory:      memory,
			ReportPanic: func(_ string, value any, stack []byte) { t.Errorf("%v\n%s", value, stack) },
		}
		s.Handle = func(_ context.Context, q *Request) *Response {
			c.account.mu.Lock()
			used, charged := c.account.used, c.account.charged
			c.account.mu.Unlock()
			header := int64(requestBytes)
			for name, values := range q.Header {
				header += int64(len(values))*fieldBytes + textFactor*int64(len(name))
			}
			taken := memory.Used()
			switch {
			case used < header:
				t.Errorf("%d bytes are charged for a request of %d", used, header)
			case charged < used-freeBytes:
				t.Errorf("%d of %d bytes are taken from the budget", charged, used)
			case taken < int64(cap(q.Body)) || taken > budget:
				t.Errorf("%d bytes are taken of %d, with a body of %d", taken, budget, cap(q.Body))
			}
			return &Response{Status: 200, Header: http.Header{}}
		}
		c = newServerConn(s, conn)
		go func() { _, _ = io.Copy(io.Discard, peer) }()
		go func() {
			for len(sent) > 0 {
				n := min(piece, len(sent))
				if _, err := peer.Write(sent[:n]); err != nil {
					break
				}
				sent = sent[n:]
			}
			_ = peer.Close()
		}()
		c.serve()
		c.handlers.Wait()
		if used := memory.Used(); used != 0 || c.account.used != 0 || c.account.charged != 0 {
			t.Fatalf("%d bytes remain reserved, %d in the account", used, c.account.used)
		}
	})
}
