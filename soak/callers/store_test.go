package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// endlessStore listens in front of a store. Once it is on, its answers do not end.
type endlessStore struct {
	listener net.Listener
	target   string
	on       atomic.Bool
	first    string
	block    []byte
	// begun is the number of endless answers.
	begun atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// newEndlessStore starts a listener at an address.
func newEndlessStore(t *testing.T, address, target, first, repeated string) *endlessStore {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessStore{listener: l, target: target, first: first, block: []byte(strings.Repeat(repeated, 1+32<<10/len(repeated)))}
	t.Cleanup(func() {
		_ = l.Close()
		s.cut()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

// cut closes all connections.
func (s *endlessStore) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

// start makes the answers endless from now on.
func (s *endlessStore) start() {
	s.on.Store(true)
	s.cut()
}

func (s *endlessStore) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !s.on.Load() {
		s.relay(c)
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	s.begun.Add(1)
	_, err := io.WriteString(c, s.first)
	for err == nil {
		_, err = c.Write(s.block)
	}
}

// relay passes the bytes of a connection on.
func (s *endlessStore) relay(c net.Conn) {
	up, err := net.Dial("tcp", s.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go func() {
		_, _ = io.Copy(c, up)
		_ = c.Close()
	}()
	_, _ = io.Copy(up, c)
}

// Guards against answers of the store without end that nodes keep until they run out of memory.
// Callers are served meanwhile, and the node that reads the store as well.
func TestEndlessStoreAnswers(t *testing.T) {
	for name, tt := range map[string]struct{ first, repeated string }{
		"no answer":             {"", strings.Repeat("\x00\xff", 500)},
		"status line":           {"HTTP/1.1 200 ", strings.Repeat("O", 1000)},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 100) + "\r\n"},
		"one header line":       {"HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", 1000)},
		"short header lines":    {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"many names":            {"HTTP/1.1 200 OK\r\n", fields(100 << 10)},
		"interim answers":       {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body without a length": {"HTTP/1.1 200 OK\r\n\r\n{\"items\":[\"", strings.Repeat("x", 1000)},
		"failure":               {"HTTP/1.1 503 No\r\n\r\n", strings.Repeat("x", 1000)},
		"chunks":                {"HTTP/1.1 200 OK\r\n" + chunked, "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
		"blanks":                {"HTTP/1.1 200 OK\r\n\r\n{}", strings.Repeat(" ", 1000)},
		"vast length":           {"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n", strings.Repeat("x", 1000)},
		"trailers":              {"HTTP/1.1 200 OK\r\n" + chunked + "0\r\n", "X-More: " + strings.Repeat("x", 100) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, bodyBytes)
			store := newEndlessStore(t, m.ip(1)+":7002", m.store, tt.first, tt.repeated)
			m.store = store.listener.Addr().String()
			one, two := m.startPair(smallestMB)
			before := max(one.mostMemory.Load(), two.mostMemory.Load())
			store.start()
			served, failed := 0, 0
			for end := time.Now().Add(2 * misbehaveFor); time.Now().Before(end); {
				for _, at := range []*node{one, two} {
					if r := at.ask(http.MethodGet, "/ledger/x", nil); r.status == http.StatusOK {
						served++
					} else {
						failed++
						t.Logf("status %d, body %.100q, %v", r.status, r.body, r.err)
					}
				}
			}
			t.Logf("resident: %.1f MB before, %.1f and %.1f MB with %d endless answers; %d requests served, %d not",
				inMB(before), inMB(one.mostMemory.Load()), inMB(two.mostMemory.Load()), store.begun.Load(), served, failed)
			if failed > 0 || served == 0 || store.begun.Load() == 0 {
				t.Errorf("%d requests served, %d not, %d endless answers", served, failed, store.begun.Load())
			}
			store.on.Store(false)
			one.check()
			two.check()
		})
	}
}
