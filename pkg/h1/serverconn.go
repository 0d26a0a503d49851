package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/sock"
)

// Errors of requests that cannot be read whole.
var (
	ErrHeaderTooLarge = errors.New("h1: header is too large")
	ErrBodyTooLarge   = errors.New("h1: body is too large")
	ErrNoMemory       = errors.New("h1: no memory for the body")
	ErrMalformed      = errors.New("h1: request is malformed")
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4 << 10

// pending is a request that waits for its answer.
type pending struct {
	method string
	last   bool // the caller asked to close after it
	answer chan *Response
	held   int64

	mu sync.Mutex
	// abandoned tells that nobody takes the answer any more.
	abandoned bool
}

// deliver hands the answer over.
func (p *pending) deliver(answer *Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		answer.Held.Release()
		return
	}
	p.answer <- answer // there is room for one
}

// abandon drops the answer, whether it is there or comes later.
func (p *pending) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	select {
	case answer := <-p.answer:
		answer.Held.Release()
	default:
	}
}

// serverConn is one connection of a caller. One goroutine reads requests, one
// writes answers in order, and one handles each request.
type serverConn struct {
	server *Server
	conn   net.Conn
	limit  *io.LimitedReader
	reader *bufio.Reader
	queue  chan *pending

	mu      sync.Mutex
	waiting int  // requests read and not answered
	reading bool // a request has begun and is not read whole
	closing bool // the last answer was chosen; nothing more is read
}

func newServerConn(s *Server, c net.Conn) *serverConn {
	limit := &io.LimitedReader{R: c}
	return &serverConn{
		server: s,
		conn:   c,
		limit:  limit,
		reader: bufio.NewReaderSize(limit, bufferBytes),
		queue:  make(chan *pending, maxPipelined),
	}
}

func (c *serverConn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.waiting
	if c.reading {
		n++
	}
	return n
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
		// Nothing more is read, but the end of the connection has to be noticed.
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

// readRequests reads until the connection ends or a last request was read.
func (c *serverConn) readRequests(ctx context.Context) {
	for {
		if !c.waitForRequest() {
			return
		}
		limits := c.server.Limits()
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		q, held, err := c.readRequest(limits)
		if err != nil {
			c.refuse(err)
			return
		}
		p := &pending{method: q.Method, last: q.last, answer: make(chan *Response, 1), held: held}
		c.server.noteRead()
		draining := c.server.isDraining()
		c.mu.Lock()
		c.reading = false
		c.waiting++
		p.last = p.last || draining
		last := p.last // that of p may change once it is queued
		c.closing = c.closing || last
		c.mu.Unlock()
		c.queue <- p
		go c.handle(ctx, q.Request, p)
		if last {
			_ = c.conn.SetReadDeadline(time.Time{})
			return
		}
	}
}

// handle answers a request.
func (c *serverConn) handle(ctx context.Context, q *Request, p *pending) {
	var answer *Response
	if guard.Run("request", c.server.Panicked, func() { answer = c.server.Handle(ctx, q) }) != nil {
		answer = c.server.Broken()
	}
	p.deliver(answer)
}

// waitForRequest waits for the first byte of a request. It returns false when
// the connection has ended, was idle for too long, or is closing.
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

// setIdle bounds the wait for the next request while none is being answered.
// The caller holds mu.
func (c *serverConn) setIdle() {
	if c.reading {
		return
	}
	var until time.Time
	if c.waiting == 0 {
		until = time.Now().Add(c.server.Limits().IdleTimeout)
	}
	_ = c.conn.SetReadDeadline(until)
}

type readRequest struct {
	*Request
	last bool
}

func (c *serverConn) readRequest(limits Limits) (*readRequest, int64, error) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		if c.limit.N <= 0 {
			return nil, 0, ErrHeaderTooLarge
		}
		var timeout net.Error
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) {
			return nil, 0, err
		}
		return nil, 0, errors.Join(ErrMalformed, err)
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
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	held := int64(0)
	if r.ContentLength != 0 {
		if q.Body, held, err = c.readBody(r, limits); err != nil {
			return nil, 0, err
		}
		q.Arrived = time.Now()
	}
	stripHop(q.Header)
	return &readRequest{Request: q, last: r.Close || !r.ProtoAtLeast(1, 1)}, held, nil
}

// readBody reads a body within the limits and the memory.
func (c *serverConn) readBody(r *http.Request, limits Limits) ([]byte, int64, error) {
	if r.ContentLength > limits.BodyBytes {
		return nil, 0, ErrBodyTooLarge
	}
	c.limit.N = limits.BodyBytes + int64(limits.HeaderBytes) + bufferBytes
	var body []byte
	held := int64(0)
	part := make([]byte, bufferBytes)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		n, err := r.Body.Read(part)
		if n > 0 && !c.server.Memory.Take(int64(n)) {
			c.server.Memory.Give(held)
			return nil, 0, ErrNoMemory
		}
		held += int64(n)
		body = append(body, part[:n]...)
		switch {
		case int64(len(body)) > limits.BodyBytes:
			c.server.Memory.Give(held)
			return nil, 0, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, held, nil
		case err != nil:
			c.server.Memory.Give(held)
			return nil, 0, err
		}
	}
}

// closeIdle ends the wait for a request if none has come. One that crosses the close
// has not been read; one whose bytes are here already is read and answered.
func (c *serverConn) closeIdle() {
	if waiting, err := sock.Peek(c.conn); err == nil && waiting == sock.Bytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == 0 && !c.reading {
		_ = c.conn.SetReadDeadline(time.Now()) // it fails only on a closed connection
	}
}

// refuse answers a request that cannot be read whole, after those before it,
// and closes the connection. A caller that left gets nothing.
func (c *serverConn) refuse(err error) {
	status := 0
	switch {
	case errors.Is(err, ErrHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, ErrMalformed):
		status = http.StatusBadRequest
	case isTimeout(err):
		status = http.StatusRequestTimeout
	}
	c.mu.Lock()
	c.reading = false
	if status != 0 {
		c.waiting++
		c.closing = true
	}
	c.mu.Unlock()
	if status == 0 {
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	p := &pending{last: true, answer: make(chan *Response, 1)}
	p.deliver(c.server.Refuse(status, err))
	c.queue <- p
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
