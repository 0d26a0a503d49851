package h1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// fieldBytes is the memory that a header field of a few bytes takes beside its text: 120
	// bytes parsed, and 115 in each of the two copies that are made of the header on the way to
	// the upstream (measured with 500 to 2,000 fields). textFactor is the number of copies of
	// the text.
	fieldBytes = 320
	textFactor = 3
	// requestBytes is about what a request takes beside its header and body until its
	// response is written: its goroutine, its state and the response's header.
	requestBytes = 4 << 10
	// freeBytes is the memory of requests that each connection has beside the budget. An
	// ordinary request takes less, so that callers who send one request at a time on each
	// connection take nothing of the budget but their bodies. The number of connections bounds
	// it.
	freeBytes = 12 << 10
	// bodyReserve is the part of the budget that is left to headers, so that stalled bodies
	// cannot keep requests without a body from being served. A body that is larger than the
	// rest is refused before it is read.
	bodyReserve = 0.125
	// memoryWait is how long a body waits for memory before its request is refused. Bodies of
	// other callers end meanwhile, or are found to be stalled.
	memoryWait, memoryPoll = 250 * time.Millisecond, 10 * time.Millisecond
	// firstBodyBytes is the size of the first buffer for a body, which doubles as the body
	// arrives, so that a caller that declares a large body and sends none takes no memory.
	firstBodyBytes = 4 << 10
)

// account is the memory that the requests of a connection take, without their bodies. What
// exceeds freeBytes is taken from the budget of the server.
type account struct {
	mu   sync.Mutex
	used int64
	// charged is the part of used that was taken from the budget.
	charged int64
}

// charge adds n bytes to the account, and reports whether the budget has room.
func (c *serverConn) charge(n int64) bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if more := max(0, c.account.used+n-freeBytes) - c.account.charged; more > 0 {
		if !c.server.Memory.TryAcquire(more) {
			return false
		}
		c.account.charged += more
	}
	c.account.used += n
	return true
}

// discharge takes n bytes off the account.
func (c *serverConn) discharge(n int64) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.used -= n
	if less := c.account.charged - max(0, c.account.used-freeBytes); less > 0 {
		c.account.charged -= less
		c.server.Memory.Release(less)
	}
}

// textCost returns the memory that a part of a header takes once it is parsed. Data after the
// empty line that ends the header costs nothing.
func textCost(text []byte) int64 {
	if end := bytes.Index(text, []byte("\r\n\r\n")); end >= 0 {
		text = text[:end]
	}
	return int64(bytes.Count(text, []byte("\n")))*fieldBytes + int64(len(text))*textFactor
}

// headerCost returns the memory that a request without its body takes.
func headerCost(target, host string, header http.Header) int64 {
	cost := int64(requestBytes) + int64(len(target)+len(host))*textFactor
	for name, values := range header {
		cost += int64(len(values)) * fieldBytes
		cost += int64(len(name)) * textFactor
		for _, v := range values {
			cost += int64(len(v)) * textFactor
		}
	}
	return cost
}

// ForwardedCost returns the memory that a request which another node passes on takes of the
// budget. An ordinary one takes no more than its body, as on the node that its caller called.
func ForwardedCost(target, host string, header http.Header, body []byte) int64 {
	return int64(len(body)) + max(0, headerCost(target, host, header)-freeBytes)
}

// headMeter charges the account of a connection for a header while it arrives, since the
// parser keeps the fields that it has read until the caller ends the header.
type headMeter struct {
	conn *serverConn
	from io.Reader
	// on is set while a header is read. cost is what was charged for it.
	on   bool
	cost int64
}

// Read implements io.Reader.
func (m *headMeter) Read(b []byte) (int, error) {
	n, err := m.from.Read(b)
	if m.on && n > 0 && !m.add(textCost(b[:n])) {
		return 0, ErrNoMemory
	}
	return n, err
}

func (m *headMeter) add(cost int64) bool {
	if !m.conn.charge(cost) {
		return false
	}
	m.cost += cost
	return true
}

// begin starts to charge for a header, of which some bytes are buffered already.
func (m *headMeter) begin(buffered []byte) bool {
	m.on, m.cost = true, 0
	return m.add(textCost(buffered))
}

// end ends the header and replaces what was charged for it by the cost of the request. It
// reports whether the budget has room.
func (m *headMeter) end(cost int64) bool {
	m.on = false
	if !m.conn.charge(cost) {
		return false
	}
	m.conn.discharge(m.cost)
	m.cost = 0
	return true
}

// abort ends a header that cannot be read.
func (m *headMeter) abort() {
	m.on = false
	m.conn.discharge(m.cost)
	m.cost = 0
}

// bodyReader reads a request body into a buffer whose size is taken from the memory budget.
type bodyReader struct {
	conn     *serverConn
	body     []byte
	held     int64
	declared int64 // -1 if not known
	// creditAt is when the body was last in time, and since is the number of bytes that have
	// arrived since then.
	creditAt time.Time
	since    int64
}

// grow enlarges the full buffer, at most to the declared length or the limit.
func (b *bodyReader) grow(limit int64) error {
	size := max(firstBodyBytes, 2*int64(cap(b.body)))
	if b.declared >= 0 {
		size = min(size, b.declared)
	}
	size = min(size, limit+1) // one byte beyond the limit is enough to refuse the body
	if !b.conn.server.acquireBody(size - int64(cap(b.body))) {
		return ErrNoMemory
	}
	b.held += size - int64(cap(b.body))
	grown := make([]byte, len(b.body), size)
	copy(grown, b.body)
	b.body = grown
	return nil
}

// maxBody returns the size of the largest body that the memory budget allows.
func (s *Server) maxBody() int64 { return int64((1 - bodyReserve) * float64(s.Memory.Limit())) }

// acquireBody takes n bytes for a body, for which it waits up to memoryWait. It leaves
// bodyReserve of the budget to headers.
func (s *Server) acquireBody(n int64) bool {
	reserve := s.Memory.Limit() - s.maxBody()
	for end := time.Now().Add(memoryWait); ; time.Sleep(memoryPoll) {
		if s.Memory.TryAcquireLeaving(n, reserve) {
			return true
		}
		if !time.Now().Before(end) {
			return false
		}
	}
}

// read reads the whole body.
func (b *bodyReader) read(from io.Reader, limits Limits) error {
	stall := b.conn.server.bodyStall()
	pace := max(1, int64(b.conn.server.Bounds.BodyBytesPerS*stall.Seconds()))
	var last [1]byte
	for b.creditAt = time.Now(); ; {
		into := last[:] // where the declared length has arrived, only the end may follow
		if b.declared < 0 || int64(len(b.body)) < b.declared {
			if len(b.body) == cap(b.body) {
				if err := b.grow(limits.BodyBytes); err != nil {
					return err
				}
			}
			into = b.body[len(b.body):cap(b.body)]
		}
		_ = b.conn.conn.SetReadDeadline(b.creditAt.Add(stall)) // fails only if the connection is closed
		n, err := from.Read(into)
		if b.declared < 0 || int64(len(b.body)) < b.declared {
			b.body = b.body[:len(b.body)+n]
		}
		if b.since += int64(n); b.since >= pace {
			b.creditAt, b.since = time.Now(), 0
			b.conn.progress()
		}
		switch {
		case int64(len(b.body)) > limits.BodyBytes:
			return ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case isTimeout(err):
			return errBodyPace
		case err != nil:
			return err
		}
	}
}
