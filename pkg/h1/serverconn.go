package h1

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
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/sock"
)

// Errors of requests that cannot be read completely.
var (
	ErrHeaderTooLarge = errors.New("h1: header is too large")
	ErrBodyTooLarge   = errors.New("h1: body is too large")
	ErrNoMemory       = errors.New("h1: no memory for the body")
	ErrMalformed      = errors.New("h1: request is malformed")

	errRequestFieldName = fmt.Errorf("%w: a field name is not a token", ErrMalformed)
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4 << 10

// pending is a request whose response is not written yet.
type pending struct {
	conn       *serverConn
	method     string
	closeAfter bool // the connection closes after the response
	answer     chan *Response
	// held is the memory of the body, which is released when the response is ready, and cost
	// that of the rest of the request, which is released when the response is written. If it
	// is not written, both are released when the handler has returned.
	held, cost int64

	mu sync.Mutex
	// abandoned is set if the response will not be written.
	abandoned bool
}

// deliver passes the response to the writing goroutine, or releases it if the request was
// abandoned.
func (p *pending) deliver(answer *Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		p.release(answer)
		return
	}
	p.conn.addReady(1)
	p.answer <- answer // does not block, since the channel has a buffer for one
}

// abandon releases the response and the memory of the request, at once if the response has
// been delivered, or when it is.
func (p *pending) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	select {
	case answer := <-p.answer:
		p.conn.addReady(-1)
		p.release(answer)
	default:
	}
}

// release releases all memory of an abandoned request and its response.
func (p *pending) release(answer *Response) {
	answer.Held.Release()
	p.conn.server.Memory.Release(p.held)
	p.conn.discharge(p.cost)
}

// serverConn is one connection of a caller. One goroutine reads the requests, one writes the
// responses in order, and each request is handled in a goroutine of its own.
type serverConn struct {
	server *Server
	conn   net.Conn
	limit  *io.LimitedReader
	meter  *headMeter
	reader *bufio.Reader
	queue  chan *pending
	// address is that of the caller, without the port.
	address string
	account account
	// handlers are the handlers that run. They may outlast the connection.
	handlers sync.WaitGroup

	mu         sync.Mutex
	unanswered int  // requests read whose responses are not written yet
	reading    bool // a request has begun to arrive and is not read completely
	writing    bool // a part of a response is being written
	closing    bool // the last request is determined; no more requests are read
	ready      int  // responses that are delivered, and not taken for writing
	// progressAt is when the connection was accepted, a part of a body arrived in time, or a
	// part of a response was written.
	progressAt time.Time
}

func newServerConn(s *Server, c net.Conn) *serverConn {
	limit := &io.LimitedReader{R: c}
	meter := &headMeter{from: limit}
	sc := &serverConn{
		server:     s,
		conn:       c,
		limit:      limit,
		meter:      meter,
		reader:     bufio.NewReaderSize(meter, bufferBytes),
		queue:      make(chan *pending, s.requestsAhead()),
		address:    addressOf(c),
		progressAt: time.Now(),
	}
	meter.conn = sc
	return sc
}

// addReady changes the number of responses that are delivered.
func (c *serverConn) addReady(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready += n
}

func (c *serverConn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.unanswered
	if c.reading {
		n++
	}
	return n
}

// isFinished reports whether the last response was written and no more requests will be read.
func (c *serverConn) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.unanswered == 0 && !c.reading
}

func (c *serverConn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(ctx)
	}()
	c.readRequests(ctx)
	close(c.queue)
	if c.isClosing() {
		// Read on without parsing requests, to detect when the caller closes the connection.
		_, _ = io.Copy(io.Discard, c.conn)
	}
	cancel()
	<-written
	_ = c.conn.Close()
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readRequests reads requests until the connection ends or the last request was read.
func (c *serverConn) readRequests(ctx context.Context) {
	for {
		if !c.waitForRequest() {
			return
		}
		limits := c.server.Limits()
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		q, err := c.readRequest(limits)
		if err != nil {
			c.refuse(err, q != nil)
			return
		}
		p := &pending{conn: c, method: q.Method, closeAfter: q.closeAfter, answer: make(chan *Response, 1), held: q.held, cost: q.cost}
		c.server.noteRead()
		draining := c.server.draining.Load()
		c.mu.Lock()
		c.reading = false
		c.unanswered++
		p.closeAfter = p.closeAfter || draining
		last := p.closeAfter // p.closeAfter may change once p is queued
		c.closing = c.closing || last
		c.mu.Unlock()
		c.queue <- p
		c.handlers.Go(func() { c.handle(ctx, q.Request, p) })
		if last {
			_ = c.conn.SetReadDeadline(time.Time{})
			return
		}
	}
}

// handle runs the handler and delivers its response, or the one for a panic. A response
// without a final status is a fault of the handler and counts as a panic.
func (c *serverConn) handle(ctx context.Context, q *Request, p *pending) {
	var answer *Response
	run := func() {
		answer = c.server.Handle(ctx, q)
		if !IsFinalStatus(answer.Status) {
			answer.Held.Release()
			panic(fmt.Sprintf("the handler returned status %d, which is not final", answer.Status))
		}
	}
	if guard.Run("request", c.server.ReportPanic, run) != nil {
		answer = c.server.PanicResponse()
	}
	p.deliver(answer)
}

// waitForRequest waits for the first byte of a request. It returns false if the connection
// has ended, was idle for too long, or is closing.
func (c *serverConn) waitForRequest() bool {
	c.limit.N = int64(c.server.Limits().HeaderBytes) + bufferBytes
	c.mu.Lock()
	c.setIdle()
	c.mu.Unlock()
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// setIdle sets the read deadline to the idle timeout if no request is unanswered, and
// removes it otherwise. It does nothing while a request is being read. The caller must hold
// mu.
func (c *serverConn) setIdle() {
	if c.reading {
		return
	}
	var until time.Time
	if c.unanswered == 0 {
		idle := c.server.Limits().IdleTimeout
		if c.server.retiring.Load() {
			idle = min(idle, retireReadTimeout)
		}
		until = time.Now().Add(idle)
	}
	_ = c.conn.SetReadDeadline(until)
}

// readRequest is a request, whether the caller asked to close the connection after it, and the
// memory that its body (held) and the rest of it (cost) take.
type readRequest struct {
	*Request
	closeAfter bool
	held, cost int64
}

// readHeader reads the request line and the header of a request and charges for them.
func (c *serverConn) readHeader() (*http.Request, int64, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, 0, err
	}
	if !c.meter.begin(buffered) {
		c.meter.abort()
		return nil, 0, ErrNoMemory
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		c.meter.abort()
		if errors.Is(err, ErrNoMemory) {
			return nil, 0, ErrNoMemory
		}
		if c.limit.N <= 0 {
			return nil, 0, ErrHeaderTooLarge
		}
		var timeout net.Error
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) {
			return nil, 0, err
		}
		return nil, 0, fmt.Errorf("%w: %s", ErrMalformed, withoutQuotes(err))
	}
	if !HasValidNames(r.Header) {
		c.meter.abort()
		return nil, 0, errRequestFieldName
	}
	cost := headerCost(r.RequestURI, r.Host, r.Header)
	if !c.meter.end(cost) {
		c.meter.abort()
		return nil, 0, ErrNoMemory
	}
	return r, cost, nil
}

// readRequest reads a request completely. If the body cannot be read, it returns the request
// without it together with the error.
func (c *serverConn) readRequest(limits Limits) (*readRequest, error) {
	r, cost, err := c.readHeader()
	if err != nil {
		return nil, err
	}
	q := &Request{
		Method:  r.Method,
		Target:  r.RequestURI,
		Path:    r.URL.EscapedPath(),
		Host:    r.Host,
		Header:  r.Header,
		Arrived: time.Now(),
	}
	if r.Header.Get("Expect") == "100-continue" {
		_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.answerStall())) // that of the last response may have passed
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			c.discharge(cost)
			return nil, err
		}
	}
	whole := &readRequest{Request: q, closeAfter: r.Close || !r.ProtoAtLeast(1, 1), cost: cost}
	if r.ContentLength != 0 {
		if q.Body, whole.held, err = c.readBody(r, limits); err != nil {
			c.discharge(cost)
			return whole, err
		}
		q.Arrived = time.Now()
	}
	stripHop(q.Header)
	return whole, nil
}

// withoutQuotes returns the text of a parser's error up to the first quotation. The parsers quote
// header lines, which may hold a key.
func withoutQuotes(err error) string {
	text, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimRight(text, ": ")
}

// readBody reads a body within the size limit and the memory budget. It also returns the
// number of bytes that the body takes of the budget. A body that could never fit into the
// budget is refused before it is read.
func (c *serverConn) readBody(r *http.Request, limits Limits) ([]byte, int64, error) {
	if r.ContentLength > limits.BodyBytes {
		return nil, 0, ErrBodyTooLarge
	}
	if r.ContentLength > c.server.maxBody() {
		return nil, 0, ErrNoMemory
	}
	c.limit.N = limits.BodyBytes + int64(limits.HeaderBytes) + bufferBytes
	b := &bodyReader{conn: c, declared: r.ContentLength}
	err := b.read(r.Body, limits)
	if err == nil && !HasValidNames(r.Trailer) {
		err = errRequestFieldName
	}
	if err != nil {
		c.server.Memory.Release(b.held)
		return nil, 0, err
	}
	return b.body, b.held, nil
}

// closeIdle ends the wait for a request if none has arrived. A request whose bytes have
// already arrived is read and answered. One that arrives during the close is not read, so
// the caller can safely retry it.
func (c *serverConn) closeIdle() {
	if unread, err := sock.Peek(c.conn); err == nil && unread == sock.Readable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered == 0 && !c.reading {
		_ = c.conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
	}
}

// refuse answers a request that cannot be read completely with an error status, after the
// responses to earlier requests, and closes the connection. A caller that has disconnected
// gets no response. inBody tells that the header was read.
func (c *serverConn) refuse(err error, inBody bool) {
	status, reason := refusal(err, inBody)
	c.mu.Lock()
	c.reading = false
	if status != 0 {
		c.unanswered++
		c.closing = true
	}
	c.mu.Unlock()
	if status == 0 {
		return
	}
	c.server.refused(reason)
	_ = c.conn.SetReadDeadline(time.Time{})
	p := &pending{conn: c, closeAfter: true, answer: make(chan *Response, 1)}
	p.deliver(c.server.Refuse(status, err))
	c.queue <- p
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
