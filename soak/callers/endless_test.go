package callers

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/platform/standin"
)

const (
	// smallestMB is the memory of the smallest host of the deployments.
	smallestMB = 112
	// endlessSlots is the number of slots of an upstream that answers without end, somewhat more
	// than those of the deployments have.
	endlessSlots = 32
	// endlessCallers is the number of callers at each node whose requests get endless answers,
	// which together take all these slots, and otherCallers that of callers beside them.
	endlessCallers, otherCallers = endlessSlots, 3
	// gatherTime is how long an endless answer waits for others to begin with it.
	gatherTime = 100 * time.Millisecond
)

// endless are answers that never end: a status line with the lines of signed behind it, a first part,
// and a part that is repeated until the node closes the connection.
var endless = map[string]struct{ status, first, repeated string }{
	"no answer":             {"", "", strings.Repeat("\x00\xff", 500)},
	"text":                  {"", "", "panic: runtime error\n"},
	"status line":           {"", "HTTP/1.1 200 ", strings.Repeat("O", 1000)},
	"one header line":       {"200 OK", "X-More: ", strings.Repeat("x", 1000)},
	"header lines":          {"200 OK", "", "X-More: " + strings.Repeat("x", 100) + "\r\n"},
	"short header lines":    {"200 OK", "", "a:\r\n"},
	"header continued":      {"200 OK", "X-More: x\r\n", " x\r\n"},
	"many names":            {"200 OK", "", fields(28 << 10)},
	"interim answers":       {"", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	"large interim answers": {"", "", "HTTP/1.1 102 Processing\r\n" + fields(28<<10) + "\r\n"},
	"other answers":         {"", "", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
	"other large answers":   {"", "", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000)},
	"chunk size":            {"200 OK", chunked, strings.Repeat("0", 1000)},
	"trailers":              {"200 OK", chunked + "0\r\n", "X-More: " + strings.Repeat("x", 100) + "\r\n"},
	"one trailer":           {"200 OK", chunked + "0\r\nX-More: ", strings.Repeat("x", 1000)},
	"vast length":           {"200 OK", "Content-Length: 9999999999999\r\n\r\n", strings.Repeat("x", 1000)},
}

// endlessBodies are endless answers of the same kind whose bodies have no length, which may be
// larger on routes with large answers.
var endlessBodies = map[string]struct{ status, first, repeated string }{
	"body without a length": {"200 OK", "\r\n", strings.Repeat("x", 1000)},
	"failure":               {"500 Oh", "\r\n", strings.Repeat("x", 1000)},
	"chunks":                {"200 OK", chunked, "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
	"tiny chunks":           {"200 OK", chunked, "1\r\nx\r\n"},
	"one chunk":             {"200 OK", chunked + "7fffffffffffffff\r\n", strings.Repeat("x", 1000)},
	"chunk extensions":      {"200 OK", chunked, "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// pouring is an upstream that answers without end. It begins several answers at the same time.
type pouring struct {
	status, first string
	block         []byte

	mu sync.Mutex
	// begin is closed when the answers that wait begin.
	begin   chan struct{}
	waiting int
	// running is the number of answers that are being written, and most its highest value.
	running, most atomic.Int64
}

func newPouring(status, first, repeated string) *pouring {
	return &pouring{status: status, first: first, block: []byte(strings.Repeat(repeated, 1+32<<10/len(repeated)))}
}

// answer writes an answer until the node closes the connection.
func (p *pouring) answer(c *net.TCPConn, r *http.Request) {
	p.gather()
	raise(&p.most, p.running.Add(1))
	defer p.running.Add(-1)
	first := p.first
	if p.status != "" {
		first = "HTTP/1.1 " + p.status + "\r\n" + signed(r) + first
	}
	_, err := io.WriteString(c, first)
	for err == nil {
		_, err = c.Write(p.block)
	}
}

// gather waits until as many answers wait as the upstream has slots, for gatherTime at most.
func (p *pouring) gather() {
	p.mu.Lock()
	if p.waiting == 0 {
		p.begin = make(chan struct{})
	}
	begin := p.begin
	if p.waiting++; p.waiting == endlessSlots {
		p.waiting = 0
		close(begin)
	}
	p.mu.Unlock()
	select {
	case <-begin:
	case <-time.After(gatherTime):
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.begin == begin && p.waiting > 0 {
			p.waiting = 0
			close(begin)
		}
	}
}

// Guards against answers without end that a node keeps until it runs out of memory, one and as
// many at once as the upstream has slots, and that keep other callers at the same nodes from
// being served.
func TestEndlessAnswers(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) { testEndless(t, "/desk/x", newPouring(e.status, e.first, e.repeated)) })
	}
	for name, e := range endlessBodies {
		t.Run(name, func(t *testing.T) { testEndless(t, "/desk/x", newPouring(e.status, e.first, e.repeated)) })
		t.Run("large "+name, func(t *testing.T) { testEndless(t, "/files/x", newPouring(e.status, e.first, e.repeated)) })
	}
}

// testEndless sends requests for a path whose answers do not end.
func testEndless(t *testing.T, path string, p *pouring) {
	one, two := startPair(t, smallestMB, bodyBytes)
	one.upstream.Slots = endlessSlots
	one.checkServed() // a heartbeat tells the node
	before := one.mostMemory.Load()
	one.upstream.SetBehaviour(standin.Behaviour{TakeOver: p.answer})
	two.ask(http.MethodGet, path, nil)
	single := one.mostMemory.Load()
	served, failed := besideCallers(t, one, two, func(at *node) {
		if r := at.ask(http.MethodGet, path, nil); r.err == nil && r.status < http.StatusBadRequest {
			t.Errorf("status %d with %d bytes of an endless answer", r.status, len(r.body))
		}
	})
	t.Logf("resident: %.1f MB before, %.1f MB with one, %.1f MB with %d at once; %d other requests served, %d not",
		inMB(before), inMB(single), inMB(one.mostMemory.Load()), p.most.Load(), served, failed)
	if failed > 0 || served == 0 {
		t.Errorf("%d other requests served, %d not", served, failed)
	}
	one.upstream.SetBehaviour(ordinary)
	one.check()
	two.check()
}

// Guards against bytes without end behind a complete answer, which are no part of it.
func TestEndlessBytesBehindAnAnswer(t *testing.T) {
	one, two := startPair(t, smallestMB, bodyBytes)
	p := newPouring("200 OK", "Content-Length: 5\r\n\r\nhello", strings.Repeat("x", 1000))
	one.upstream.SetBehaviour(standin.Behaviour{TakeOver: p.answer})
	for _, at := range []*node{one, two} {
		for range 2 * slots {
			if r := at.ask(http.MethodGet, "/desk/x", nil); r.status != http.StatusOK || string(r.body) != "hello" {
				t.Errorf("status %d, body %.100q, %v", r.status, r.body, r.err)
			}
		}
	}
	one.upstream.SetBehaviour(ordinary)
	one.check()
	two.check()
}

func inMB(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// besideCallers lets callers misbehave at both nodes for misbehaveFor, and sends other requests
// to the upstream of the second node through both. It returns how many of these were served, and
// how many were not.
func besideCallers(t *testing.T, one, two *node, misbehaving func(at *node)) (served, failed int) {
	t.Helper()
	var running sync.WaitGroup
	var good, bad atomic.Int64
	end := time.Now().Add(misbehaveFor)
	for _, at := range []*node{one, two} {
		for range endlessCallers {
			running.Go(func() {
				for time.Now().Before(end) {
					misbehaving(at)
				}
			})
		}
		for range otherCallers {
			running.Go(func() {
				for time.Now().Before(end) {
					if r := at.ask(http.MethodGet, "/ledger/x", nil); r.err != nil || r.status != http.StatusOK {
						bad.Add(1)
						t.Logf("other request: status %d, body %.100q, %v", r.status, r.body, r.err)
						continue
					}
					good.Add(1)
				}
			})
		}
	}
	running.Wait()
	return int(good.Load()), int(bad.Load())
}
