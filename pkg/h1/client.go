package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

// FailureKind says why an exchange gave no answer.
type FailureKind string

// The kinds of failures.
const (
	// FailConnect: no connection could be opened.
	FailConnect FailureKind = "connect"
	// FailBroken: the connection ended before the answer did.
	FailBroken FailureKind = "broken"
	// FailMalformed: what came back is no whole answer to this request.
	FailMalformed FailureKind = "malformed"
	// FailEnded: the request's own time ended, or its caller left.
	FailEnded FailureKind = "ended"
	// FailMemory: there was no memory for the answer.
	FailMemory FailureKind = "memory"
)

// Failure is an exchange without an answer.
type Failure struct {
	Kind FailureKind
	// Sent tells that the peer may have got the request.
	Sent bool
	Err  error
}

func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.Kind, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

const (
	// maxStrays bounds the answers to other requests that are skipped.
	maxStrays = 4
	// maxHeadBytes bounds the status line and the header of an answer, maxInterim the
	// interim answers before it. Those of the example upstreams have some hundred bytes.
	maxHeadBytes = 32 << 10
	maxInterim   = 8
	// maxAnswerBytes bounds an answer, which is held whole, and maxAnswerShare its
	// part of the memory for answers.
	maxAnswerBytes = 32 << 20
	maxAnswerShare = 0.5
	// maxPlainBytes bounds an answer that does not tell its length, unless its route has
	// large answers. One core reads as much in 10 to 17 ms.
	maxPlainBytes = 4 << 20
	// maxFramingBytes bounds what chunks add to a body, some 50,000 chunks. One core
	// reads as many in 10 ms.
	maxFramingBytes = 256 << 10
	// inlineBytes is the size up to which a body is written before the answer is
	// read; it fits the buffers of a socket.
	inlineBytes = 2 << 10
	connectTime = 500 * time.Millisecond
)

// Exchange sends q on a connection of the pool and reads the answer that bears
// the same value in the header idHeader. fresh asks for a connection that was
// used within freshIdle, so that the peer has hardly closed it.
func (p *Pool) Exchange(ctx context.Context, q *Request, idHeader string, fresh bool) (*Response, *Failure) {
	c, failure := p.get(ctx, fresh)
	if failure != nil {
		return nil, failure
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	written := make(chan error, 1)
	send := func() {
		q.write(c.writer)
		written <- c.writer.Flush()
	}
	if len(q.Body) <= inlineBytes {
		send()
	} else {
		go send()
	}
	answer, reusable, err := c.read(ctx, q, idHeader, p.answers)
	if err != nil {
		stop()
		p.drop(c)
		return nil, exchangeFailure(ctx, err)
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		// The peer answered before it had read the whole body.
		reusable = false
	}
	if stop() && reusable {
		p.put(c)
	} else {
		p.drop(c)
	}
	return answer, nil
}

func exchangeFailure(ctx context.Context, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return &Failure{Kind: FailEnded, Sent: true, Err: ctx.Err()}
	case errors.Is(err, errNoMemory):
		return &Failure{Kind: FailMemory, Sent: true, Err: err}
	case errors.Is(err, errStray), errors.Is(err, errTooLarge), errors.Is(err, errSyntax):
		return &Failure{Kind: FailMalformed, Sent: true, Err: err}
	}
	return &Failure{Kind: FailBroken, Sent: true, Err: err}
}

var (
	errStray    = errors.New("h1: only answers to other requests came")
	errTooLarge = errors.New("h1: answer is too large")
	errSyntax   = errors.New("h1: answer cannot be parsed")
	errNoMemory = errors.New("h1: no memory for the answer")
)

// clientConn is one connection to the upstream.
type clientConn struct {
	conn net.Conn
	// limit bounds what is read of one message.
	limit  *io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	idleAt time.Time
	// used tells that an earlier request was answered on the connection.
	used bool
	// keep is how long the peer keeps the connection when it is idle.
	keep time.Duration
}

func newClientConn(c net.Conn) *clientConn {
	limit := &io.LimitedReader{R: c}
	return &clientConn{
		conn:   c,
		limit:  limit,
		reader: bufio.NewReaderSize(limit, bufferBytes),
		writer: bufio.NewWriterSize(c, bufferBytes),
		keep:   defaultKeep,
	}
}

// read returns the answer to q, and whether the connection can carry another
// request. Answers to other requests are skipped.
func (c *clientConn) read(ctx context.Context, q *Request, idHeader string, answers *memory.Budget) (*Response, bool, error) {
	reusable := true
	for range maxStrays {
		r, err := c.readOne(ctx, q, answers)
		if err != nil {
			return nil, false, err
		}
		if !c.isOwn(r.header.Get(idHeader), q.Header.Get(idHeader)) {
			r.held.Release()
			reusable = false
			continue
		}
		c.used = true
		reusable = reusable && !r.closes && c.reader.Buffered() == 0
		if keep, ok := keepAlive(r.header); ok {
			c.keep = keep
		}
		stripHop(r.header)
		return &Response{Status: r.status, Header: r.header, Body: r.body, Held: r.held}, reusable, nil
	}
	return nil, false, errStray
}

// isOwn reports whether an answer with an id belongs to the request with another. One
// without an id does only if no earlier request can have left it behind.
func (c *clientConn) isOwn(answered, asked string) bool {
	return answered == asked || answered == "" && !c.used
}

type rawAnswer struct {
	status int
	header http.Header
	body   []byte
	held   *memory.Hold
	closes bool
}

// readOne reads the next final answer whole.
func (c *clientConn) readOne(ctx context.Context, q *Request, answers *memory.Budget) (*rawAnswer, error) {
	for range maxInterim {
		c.limit.N = maxHeadBytes
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		r, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, fmt.Errorf("read head: %w", c.readError(err))
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		held := answers.Hold()
		body, err := c.readBody(ctx, r, held, bodyBounds(q, answers.Limit()))
		if err != nil {
			held.Release()
			return nil, err
		}
		return &rawAnswer{status: r.StatusCode, header: r.Header, body: body, held: held, closes: r.Close || unframed(r)}, nil
	}
	return nil, fmt.Errorf("%d interim answers: %w", maxInterim, errSyntax)
}

// readError says what an error while an answer was read means: that it is too large,
// that its connection ended, or that it is no answer.
func (c *clientConn) readError(err error) error {
	var network net.Error
	switch {
	case c.limit.N <= 0:
		return errTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.As(err, &network):
		return err
	}
	return errors.Join(errSyntax, err)
}

// bounds are the most bytes of a body that tells its length, and of one that does not.
type bounds struct{ sized, unsized int64 }

func bodyBounds(q *Request, budget int64) bounds {
	most := min(maxAnswerBytes, int64(maxAnswerShare*float64(budget)))
	if q.LargeAnswer {
		return bounds{sized: most, unsized: most}
	}
	return bounds{sized: most, unsized: min(most, maxPlainBytes)}
}

// readBody reads the body of an answer and holds its bytes. Where its length is
// known it waits for memory, and the upstream for the reader.
func (c *clientConn) readBody(ctx context.Context, r *http.Response, held *memory.Hold, most bounds) ([]byte, error) {
	if r.ContentLength > most.sized {
		return nil, fmt.Errorf("%d bytes: %w", r.ContentLength, errTooLarge)
	}
	if r.ContentLength < 0 {
		c.limit.N = most.unsized + maxFramingBytes
		return c.readGrowing(r.Body, held, most.unsized)
	}
	c.limit.N = most.sized
	if err := held.Wait(ctx, r.ContentLength); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoMemory, err)
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("read body: %w", c.readError(err))
	}
	return body, nil
}

// readGrowing reads a body of unknown length.
func (c *clientConn) readGrowing(body io.Reader, held *memory.Hold, most int64) ([]byte, error) {
	var all []byte
	part := make([]byte, bufferBytes)
	start := c.unread()
	for {
		n, err := body.Read(part)
		if n > 0 && !held.Grow(int64(n)) {
			return nil, errNoMemory
		}
		all = append(all, part[:n]...)
		switch {
		case int64(len(all)) > most:
			return nil, fmt.Errorf("over %d bytes: %w", most, errTooLarge)
		case start-c.unread()-int64(len(all)) > maxFramingBytes:
			return nil, fmt.Errorf("over %d bytes of framing: %w", maxFramingBytes, errTooLarge)
		case errors.Is(err, io.EOF):
			return all, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", c.readError(err))
		}
	}
}

// unread returns the bytes of the message that its parser may still take.
func (c *clientConn) unread() int64 { return c.limit.N + int64(c.reader.Buffered()) }

// unframed reports whether the answer's body ended with its connection.
func unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// keepAlive reads the time-out of a Keep-Alive header, in whole seconds.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
